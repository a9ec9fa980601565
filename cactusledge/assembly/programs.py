"""Builds the programs part: logs, drivers, senders and the router."""

import time
from collections.abc import Mapping
from typing import NamedTuple

from cactusledge.assembly.base import Base
from cactusledge.assembly.routing import RoutingPart, engines_of
from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient
from cactusledge.models import CallKind, CallSpec
from cactusledge.programs.claims import Choose, Fence, InstanceView, wanted_logs
from cactusledge.programs.durability import CommitWait
from cactusledge.programs.held import PeerHeldRecords
from cactusledge.programs.ids import log_names
from cactusledge.programs.log_opener import OpenerParts, StoreLogOpener
from cactusledge.programs.logs import LogManager, LogTable
from cactusledge.programs.neighbours import Neighbours
from cactusledge.programs.remote import PeerPrograms
from cactusledge.programs.router import (
    Home,
    LocalPrograms,
    ProgramRouter,
    RemotePrograms,
)
from cactusledge.programs.runner import CallRunner
from cactusledge.programs.sending import ModelSender, Sender, ServiceSender
from cactusledge.programs.work import WorkPool
from cactusledge.settings.configuration import Operation


class ProgramsPart(NamedTuple):
    """The programs that this instance drives, and the way to all others."""

    table: LogTable
    logs: LogManager
    local: LocalPrograms
    router: ProgramRouter
    pools: ConnectionPools
    neighbours: Neighbours
    home: Home

    def unowned_logs(self) -> tuple[str, ...]:
        """Returns the logs of this data centre that nobody drives."""
        views = self.neighbours.others()
        owned = {name for view in views for name in view.logs}
        names = log_names(self.home.data_centre, self.home.logs)
        return tuple(
            name
            for name in names
            if name not in owned and self.table.find(name) is None
        )


class _Definitions:
    """Looks things up in the configuration in force."""

    def __init__(self, base: Base) -> None:
        self._config = base.config

    def price_of(self, model: str) -> int:
        """Returns the units of one token."""
        return self._config.current().model(model).units_per_token

    def operation_of(self, spec: CallSpec) -> Operation:
        """Returns the operation that a call names."""
        service = self._config.current().service(spec.target)
        return service.operation(spec.operation)


def build_programs(
    base: Base,
    routing: RoutingPart,
    neighbours: Neighbours,
    choose: Choose,
) -> ProgramsPart:
    """Returns the programs part of an instance."""
    table = LogTable()
    opener = _build_opener(base, neighbours)
    durability = CommitWait(opener.is_up, opener.hold_waiting)
    pools = ConnectionPools()
    opener.work = _build_work(base, routing, pools, durability)
    logs = LogManager(
        table,
        opener,
        base.workers,
        lambda fences: _wanted(base, table, neighbours, choose, fences),
    )
    local = LocalPrograms(table, durability)
    home = Home(base.data_centre, base.settings.journal.logs_per_data_centre)

    def find_remote(name: str) -> RemotePrograms | None:
        client = neighbours.owner_of_log(name)
        if client is None:
            return None
        return PeerPrograms(client, base.name, base.followers, router.call)

    router = ProgramRouter(home, local, find_remote)
    return ProgramsPart(
        table,
        logs,
        local,
        router,
        pools,
        neighbours,
        home,
    )


def _build_opener(base: Base, neighbours: Neighbours) -> StoreLogOpener:
    held = PeerHeldRecords(base.name, neighbours.nearby)
    return StoreLogOpener(
        OpenerParts(
            store=base.store,
            instance=base.name,
            journal=base.settings.journal,
            workers=base.workers,
            config=base.config.current,
            held=held,
            now_s=time.time,
        ),
    )


def _build_work(
    base: Base,
    routing: RoutingPart,
    pools: ConnectionPools,
    durability: CommitWait,
) -> WorkPool:
    engines = EngineClient(pools)
    services = ServiceClient(pools)
    definitions = _Definitions(base)
    senders: Mapping[CallKind, Sender] = {
        CallKind.MODEL: ModelSender(
            routing.leases,
            engines,
            definitions.price_of,
        ),
        CallKind.SERVICE: ServiceSender(
            routing.leases,
            services,
            definitions.operation_of,
        ),
    }
    return WorkPool(
        base.workers,
        CallRunner(senders, durability, base.traces),
        engines,
        services,
        routing.directory,
        lambda: engines_of(routing.directory),
    )


def _wanted(
    base: Base,
    table: LogTable,
    neighbours: Neighbours,
    choose: Choose,
    fences: Mapping[str, Fence],
) -> tuple[str, ...]:
    me = InstanceView(
        base.name,
        base.data_centre,
        leaving=False,
        logs=table.names(),
    )
    count = base.settings.journal.logs_per_data_centre
    return wanted_logs(
        me,
        neighbours.others(),
        log_names(base.data_centre, count),
        fences,
        time.monotonic(),
        choose,
    )
