"""Builds the peer service and the membership."""

import time
from typing import NamedTuple

from cactusledge.assembly.base import Base
from cactusledge.assembly.programs import ProgramsPart
from cactusledge.assembly.routing import RoutingPart
from cactusledge.errors import CactusledgeError
from cactusledge.peers.membership import Membership
from cactusledge.peers.messages import MemberView
from cactusledge.peers.rendezvous import owner
from cactusledge.peers.server import PeerServer
from cactusledge.programs.logs.peer_directory import (
    ACCEPTS_KEY,
    NOT_ACCEPTING,
    InstanceIdentity,
    PeerDirectory,
    generation_of,
    member_state,
)
from cactusledge.programs.peers.handler import (
    HandlerDependencies,
    InstancePeerHandler,
)
from cactusledge.settings.peer_reports import reported_peer_addresses
from cactusledge.settings.reporter import StatusReporter
from cactusledge.telemetry.logs import get_logger

PEER_TIMEOUT_S = 5.0
NS_PER_MS = 1_000_000

log = get_logger('peers')


class PeersPart(NamedTuple):
    """The peer service and the components it depends on."""

    server: PeerServer
    membership: Membership
    peer_directory: PeerDirectory
    base: Base
    programs: ProgramsPart
    reporter: StatusReporter

    def start(self) -> None:
        """Starts membership and the peer server, then looks for peers."""
        self.membership.start()
        self.server.start()
        self.base.workers.submit(self._add_reported_peers)

    def tick(self) -> None:
        """Announces the current state and fetches newer configurations.

        Also reports the status of this instance to the platform.
        """
        self.announce()
        generation = self.base.config.current().generation
        self.base.workers.submit(self.reporter.tick)
        newest = max(map(generation_of, self.membership.available()), default=0)
        if newest > generation:
            self.base.config.request_refresh_if_behind(newest)
            self.base.workers.submit(self._fetch_config, generation)

    def announce(self) -> None:
        """Publishes this instance's logs, generation and readiness to peers."""
        generation = self.base.config.current().generation
        names = self.programs.table.names()
        accepts = self.peer_directory.accepts
        state = member_state(names, generation, accepts=accepts)
        for key, data in state.items():
            self.membership.set_state(key, data)

    def leave(self) -> None:
        """Tells the peers that this instance accepts no new work."""
        self.peer_directory.leaving = True
        self.membership.leave()

    def stop(self) -> None:
        """Stops the peer server and closes all connections with peers."""
        self.server.stop()
        self.membership.stop()
        self.peer_directory.close()

    def _add_reported_peers(self) -> None:
        """Adds the instances that reported to the platform as seeds."""
        try:
            found = reported_peer_addresses(
                self.base.store,
                self.base.name,
                time.time(),
            )
            self.membership.add_seeds(found)
        except CactusledgeError as exc:
            log.info(
                'Listing peers from the platform failed.', reason=exc.message
            )

    def _fetch_config(self, known: int) -> None:
        for client in self.peer_directory.data_centre_peers():
            try:
                reply = client.get_config(known)
            except CactusledgeError as exc:
                log.info(
                    'Fetching the configuration from a peer failed.',
                    reason=exc.message,
                )
                continue
            if reply.document is not None:
                self.base.config.apply_encoded(reply.generation, reply.document)
                return


def build_membership(base: Base) -> tuple[Membership, PeerDirectory]:
    """Returns the membership and the directory of its live peers."""
    peers = base.settings.peers
    address = base.settings.listen.peers
    membership = Membership(
        MemberView(
            name=base.name,
            host=address.host,
            port=address.port,
            data_centre=base.data_centre,
            incarnation=time.time_ns() // NS_PER_MS,
            state={ACCEPTS_KEY: NOT_ACCEPTING},
        ),
        peers.seeds,
        peers.heartbeat_interval_s,
    )
    peer_directory = PeerDirectory(
        InstanceIdentity(base.name, base.data_centre),
        lambda: membership.live.members,
        owner,
        PEER_TIMEOUT_S,
    )
    return membership, peer_directory


def build_peers(
    base: Base,
    routing: RoutingPart,
    programs: ProgramsPart,
    peer_directory: PeerDirectory,
    membership: Membership,
) -> PeersPart:
    """Returns the peer service of an instance."""
    handler = InstancePeerHandler(
        HandlerDependencies(
            name=base.name,
            heartbeats=membership,
            programs=programs.local,
            grants=routing.grant_manager,
            queues=routing.queues,
            held=programs.held,
            config=base.config,
            traces=base.traces,
            request_takeover=programs.logs.request_takeover,
        ),
    )
    server = PeerServer(
        base.settings.listen.peers,
        handler,
        base.settings.limits.max_connections,
    )
    reporter = StatusReporter(
        base.store,
        instance=base.name,
        data_centre=base.data_centre,
        generation=lambda: base.config.current().generation,
        now=time.time,
        peers=str(base.settings.listen.peers),
    )
    return PeersPart(
        server,
        membership,
        peer_directory,
        base,
        programs,
        reporter,
    )
