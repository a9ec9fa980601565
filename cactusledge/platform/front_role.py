"""Builds and runs a gateway on the users' platform."""

from cactusledge.gateway.app import GatewayApplication
from cactusledge.gateway.buffer_space import MachineLimits
from cactusledge.gateway.departures import DEFAULT_WINDOW_S
from cactusledge.gateway.parts import GatewayParts
from cactusledge.models import Address
from cactusledge.platform.documents import (
    decode_configuration,
    decode_replica,
)
from cactusledge.platform.headers import HeaderDialect
from cactusledge.platform.kinds import CONFIGURATION_KIND, ENDPOINT_KIND
from cactusledge.platform.objects import PlatformObjects
from cactusledge.platform.settings import (
    METRICS_PORT,
    PlatformSettings,
    settings_error,
)


async def run(settings: PlatformSettings) -> None:
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
        machine=MachineLimits(settings.memory_mb, settings.descriptors),
    )
    await GatewayApplication(parts).run()
