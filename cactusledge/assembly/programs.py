"""Builds the components that run programs: logs, drivers and the router."""

import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from cactusledge.assembly.base import Base
from cactusledge.assembly.routing import RoutingPart
from cactusledge.assembly.work_pool import build_work_pool
from cactusledge.programs.calls.fenced import FencedCallRetrier
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.ids import log_names
from cactusledge.programs.journal.durability import CommitWait
from cactusledge.programs.journal.held import HeldStore, PeerHeldRecords
from cactusledge.programs.local_programs import LocalPrograms
from cactusledge.programs.logs.claims import (
    ChooseInstance,
    ClaimBackoff,
    InstanceView,
    logs_to_claim,
)
from cactusledge.programs.logs.opener import OpenerDependencies, StoreLogOpener
from cactusledge.programs.logs.owned import LogManager, LogTable
from cactusledge.programs.logs.peer_directory import PeerDirectory
from cactusledge.programs.peers.remote import PeerPrograms
from cactusledge.programs.peers.router import (
    HomeLogs,
    ProgramRouter,
    RemotePrograms,
)
from cactusledge.programs.views import CallArgs


class ProgramsPart(NamedTuple):
    """The logs that this instance owns, and the router to all programs."""

    table: LogTable
    logs: LogManager
    local: LocalPrograms
    router: ProgramRouter
    peer_directory: PeerDirectory
    home: HomeLogs
    opener: StoreLogOpener
    held: HeldStore

    def platform_up(self) -> bool:
        """Returns whether the platform answers the journal writers."""
        return self.opener.is_up()

    def waiting_bytes(self) -> int:
        """Returns the size of the records that are not yet durable."""
        return self.opener.waiting_bytes()

    def unowned_logs(self) -> tuple[str, ...]:
        """Returns the logs of this data centre that no instance owns."""
        views = self.peer_directory.other_instances()
        owned = {name for view in views for name in view.logs}
        names = log_names(self.home.data_centre, self.home.logs)
        return tuple(
            name
            for name in names
            if name not in owned and self.table.find(name) is None
        )


class _RemoteOwners:
    """Finds the peers that own logs."""

    def __init__(self, base: Base, peer_directory: PeerDirectory) -> None:
        self._base = base
        self._peer_directory = peer_directory
        self.repeat_call: Callable[[CallArgs], CallStream] | None = None

    def find(self, log: str) -> RemotePrograms | None:
        """Returns access to the programs of the log's owner, if known."""
        client = self._peer_directory.owner_of_log(log)
        if client is None or self.repeat_call is None:
            return None
        return PeerPrograms(
            client,
            self._base.name,
            self._base.forwarding_workers,
            self.repeat_call,
        )


def build_programs(
    base: Base,
    routing: RoutingPart,
    peer_directory: PeerDirectory,
    choose_instance: ChooseInstance,
) -> ProgramsPart:
    """Returns the components that run programs on an instance."""
    table = LogTable()
    held = HeldStore()
    opener = _build_opener(base, peer_directory, held)
    durability = CommitWait(opener.is_up, opener.hold_waiting)
    retrier = FencedCallRetrier()
    opener.work = build_work_pool(base, routing, durability, retrier)
    logs = LogManager(
        table,
        opener,
        base.workers,
        lambda backoffs: _find_logs_to_claim(
            base, table, peer_directory, choose_instance, backoffs
        ),
        lambda: {
            name
            for peer in peer_directory.other_instances()
            for name in peer.logs
        },
    )
    local = LocalPrograms(table, durability)
    home = HomeLogs(
        base.data_centre, base.settings.journal.logs_per_data_centre
    )
    remote_owners = _RemoteOwners(base, peer_directory)
    router = ProgramRouter(home, local, remote_owners.find)
    remote_owners.repeat_call = router.call
    retrier.repeat_call = router.call
    return ProgramsPart(
        table,
        logs,
        local,
        router,
        peer_directory,
        home,
        opener,
        held,
    )


def _build_opener(
    base: Base,
    peer_directory: PeerDirectory,
    store: HeldStore,
) -> StoreLogOpener:
    held = PeerHeldRecords(base.name, peer_directory.data_centre_peers, store)
    return StoreLogOpener(
        OpenerDependencies(
            store=base.store,
            instance=base.name,
            journal=base.settings.journal,
            workers=base.workers,
            config=base.config.current,
            held=held,
            metrics=base.metrics,
            now_s=time.time,
        ),
    )


def _find_logs_to_claim(
    base: Base,
    table: LogTable,
    peer_directory: PeerDirectory,
    choose_instance: ChooseInstance,
    backoffs: Mapping[str, ClaimBackoff],
) -> tuple[str, ...]:
    own_view = InstanceView(
        base.name,
        base.data_centre,
        takes_work=peer_directory.takes_work,
        logs=table.names(),
    )
    count = base.settings.journal.logs_per_data_centre
    return logs_to_claim(
        own_view,
        peer_directory.other_instances(),
        log_names(base.data_centre, count),
        backoffs,
        time.monotonic(),
        choose_instance,
    )
