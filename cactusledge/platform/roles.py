"""Builds and runs the process of each role in the deployment file."""

from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

from cactusledge.gateway.app import GatewayApplication
from cactusledge.gateway.departures import DEFAULT_WINDOW_S
from cactusledge.gateway.parts import GatewayParts
from cactusledge.models import Address
from cactusledge.objects.store import StoredObject
from cactusledge.platform.documents import (
    CONFIGURATION_KIND,
    ENDPOINT_KIND,
    RETIREMENT_KIND,
    decode_configuration,
    decode_replica,
    is_retirement_of,
)
from cactusledge.platform.headers import HeaderDialect
from cactusledge.platform.objects import PlatformObjects
from cactusledge.platform.settings import PlatformSettings, settings_error
from cactusledge.records.app import StoreApplication, StoreParts

METRICS_PORT = 9464  # must equal `metrics` in deploy/system.toml

Role = Callable[[PlatformSettings], Coroutine[Any, Any, None]]


class PlatformRetirement:
    """Requests to drain a store; implements `records.app.RetirementRequest`."""

    kind = RETIREMENT_KIND

    def __init__(self, objects: PlatformObjects, instance: str) -> None:
        """Stores the object client and the name of this instance."""
        self._objects = objects
        self._instance = instance

    def is_requested(self, stored: StoredObject) -> bool:
        """Returns whether an object requests to drain this store."""
        return is_retirement_of(stored, self._instance)

    def report(self, *, is_done: bool) -> None:
        """Writes the progress to the status of the request object."""
        state = 'done' if is_done else 'running'
        self._objects.put_status(
            RETIREMENT_KIND, self._instance, {'state': state}
        )


async def run_gateway(settings: PlatformSettings) -> None:
    """Runs a gateway, which serves callers."""
    if settings.callers is None or settings.readiness is None:
        raise settings_error(
            'listen', 'listen.front or listen.ready is missing.'
        )
    parts = GatewayParts(
        instance=settings.instance,
        data_centre=settings.data_centre,
        callers=settings.callers,
        readiness=settings.readiness,
        metrics=Address(settings.host, METRICS_PORT),
        peers=Address(settings.host, settings.peer_port),
        seeds=tuple(
            Address(seed.host, settings.peer_port) for seed in settings.seeds
        ),
        grace_s=settings.grace_s,
        drain_s=settings.drain_s or DEFAULT_WINDOW_S,
        objects=PlatformObjects(settings.platform_address),
        dialect=HeaderDialect(),
        configuration_kind=CONFIGURATION_KIND,
        endpoint_kind=ENDPOINT_KIND,
        decode_configuration=decode_configuration,
        decode_replica=decode_replica,
        cross_ms_per_mb=settings.cross_ms_per_mb,
    )
    await GatewayApplication(parts).run()


async def run_store(settings: PlatformSettings) -> None:
    """Runs a record store."""
    folder = settings.data_folder
    if folder is None:
        raise settings_error('data_dir', 'data_dir is missing.')
    objects = PlatformObjects(settings.platform_address)
    parts = StoreParts(
        instance=settings.instance,
        data_centre=settings.data_centre,
        address=Address(settings.host, settings.peer_port),
        folder=Path(folder),
        is_first_start=settings.is_first_start,
        copies=settings.tolerated_losses + 1,
        objects=objects,
        retirement=PlatformRetirement(objects, settings.instance),
        metrics=Address(settings.host, METRICS_PORT),
    )
    await StoreApplication(parts).run()


ROLES: Mapping[str, Role] = MappingProxyType({
    'front': run_gateway,
    'store': run_store,
})
