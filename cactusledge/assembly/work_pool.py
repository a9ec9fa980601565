"""Builds the worker pool that sends calls to endpoints."""

from collections.abc import Mapping

from cactusledge.assembly.base import Base
from cactusledge.assembly.routing import RoutingPart, model_engines
from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.service import ServiceClient
from cactusledge.models import CallKind, CallSpec
from cactusledge.programs.calls.fenced import FencedCallRetrier
from cactusledge.programs.calls.model_sender import ModelSender
from cactusledge.programs.calls.runner import CallRunner
from cactusledge.programs.calls.sending import Sender
from cactusledge.programs.calls.service_sender import ServiceSender
from cactusledge.programs.calls.work import WorkPool
from cactusledge.programs.journal.durability import CommitWait
from cactusledge.settings.configuration import Operation


class _ConfigLookup:
    """Looks up prices and operations in the current configuration."""

    def __init__(self, base: Base) -> None:
        self._config = base.config

    def price_of(self, model: str) -> int:
        """Returns the price of one token, in budget units."""
        return self._config.current().model(model).units_per_token

    def operation_of(self, spec: CallSpec) -> Operation:
        """Returns the definition of the operation that a call names."""
        service = self._config.current().service(spec.target)
        return service.operation(spec.operation)


def build_work_pool(
    base: Base,
    routing: RoutingPart,
    durability: CommitWait,
    retrier: FencedCallRetrier,
) -> WorkPool:
    """Returns the worker pool that the drivers use."""
    engines = EngineClient(routing.pools)
    services = ServiceClient(routing.pools)
    config_lookup = _ConfigLookup(base)
    senders: Mapping[CallKind, Sender] = {
        CallKind.MODEL: ModelSender(
            routing.leases,
            engines,
            config_lookup.price_of,
            base.traces,
        ),
        CallKind.SERVICE: ServiceSender(
            routing.leases,
            services,
            config_lookup.operation_of,
            base.traces,
            routing.events,
        ),
    }
    return WorkPool(
        base.workers,
        CallRunner(
            senders,
            durability,
            base.traces,
            base.metrics,
            retrier,
            routing.engine_maintenance.release,
        ),
        engines,
        services,
        routing.directory,
        lambda: model_engines(routing.directory),
        routing.events.notify_ended,
    )
