"""Builds the routing: endpoints, engine queues and leases."""

from typing import NamedTuple

import pykka

from cactusledge.assembly.base import Base
from cactusledge.endpoints.directory import EndpointDirectory
from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.models import CallKind, Endpoint
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher
from cactusledge.programs.calls.service_balancers import ServiceBalancers
from cactusledge.programs.engines.events import ProgramEventNotifier
from cactusledge.programs.engines.grants import GrantManager, GrantRouter
from cactusledge.programs.engines.groups import EngineGroups
from cactusledge.programs.engines.leases import LeaseManager
from cactusledge.programs.engines.maintenance import (
    EngineMaintenance,
    MaintenanceDependencies,
)
from cactusledge.programs.logs.peer_directory import PeerDirectory
from cactusledge.routing.client import DispatcherClient, Ticker
from cactusledge.routing.dispatcher import Dispatcher
from cactusledge.routing.policy import LATENCY_FIRST

INSTANCES_KIND = 'instances'


class RoutingPart(NamedTuple):
    """The endpoint directory and the components that schedule calls."""

    directory: EndpointDirectory
    watcher: Watcher
    dispatcher: pykka.ActorRef[Dispatcher]
    grant_manager: GrantManager
    leases: LeaseManager
    ticker: Ticker
    engine_maintenance: EngineMaintenance
    events: ProgramEventNotifier
    queues: DispatcherClient
    pools: ConnectionPools

    def start(self) -> None:
        """Starts watching endpoint registrations and ticking the queues."""
        self.watcher.start()
        self.ticker.start()

    def tick(self) -> None:
        """Cancels grant requests of dead instances and polls engine loads."""
        self.grant_manager.tick()
        self.engine_maintenance.tick()

    def stop(self) -> None:
        """Stops the watch and the ticker, and refuses the queued jobs."""
        self.watcher.stop()
        self.ticker.stop()
        self.dispatcher.stop(block=False)
        self.pools.close()


def build_routing(base: Base, peer_directory: PeerDirectory) -> RoutingPart:
    """Returns the routing components of an instance."""
    dispatcher = Dispatcher.start(
        owner=base.name,
        settings=LATENCY_FIRST,
        on_release=lambda effect: engine_maintenance.handle_release(effect),
    )
    client = DispatcherClient(dispatcher)
    groups = EngineGroups(LATENCY_FIRST.group_size)
    directory: EndpointDirectory = EndpointDirectory(
        base.data_centre,
        lambda: _configured_endpoints(base),
        lambda: _update_groups(base, groups, directory, client),
    )
    grants = GrantRouter(client, peer_directory.owner_of_group, base.name)
    pools = ConnectionPools()
    engine_maintenance: EngineMaintenance = EngineMaintenance(
        MaintenanceDependencies(
            workers=base.workers,
            engines=EngineClient(pools),
            directory=directory,
            queues=client,
            is_owner=lambda key: peer_directory.owner_of_group(key) is None,
            key_of=groups.key_of,
        ),
    )
    base.config.on_change(lambda _: directory.refresh())
    return RoutingPart(
        directory=directory,
        watcher=Watcher(base.store, WatchTarget(INSTANCES_KIND), directory),
        dispatcher=dispatcher,
        grant_manager=GrantManager(client),
        leases=LeaseManager(
            directory,
            grants,
            ServiceBalancers(base.data_centre, LATENCY_FIRST),
            groups,
        ),
        ticker=Ticker(client),
        engine_maintenance=engine_maintenance,
        events=ProgramEventNotifier(
            client,
            peer_directory.owner_of_group,
            groups.key_of,
        ),
        queues=client,
        pools=pools,
    )


def model_engines(directory: EndpointDirectory) -> tuple[Endpoint, ...]:
    """Returns all known model engines."""
    return tuple(
        endpoint
        for endpoint in directory.all()
        if endpoint.kind is CallKind.MODEL
    )


def _configured_endpoints(base: Base) -> tuple[Endpoint, ...]:
    return base.config.current().fixed_endpoints()


def _update_groups(
    base: Base,
    groups: EngineGroups,
    directory: EndpointDirectory,
    client: DispatcherClient,
) -> None:
    groups.refresh(directory)
    groups.configure_dispatcher(client, base.config.current())
