"""Runs the application of a gateway without platform and record stores.

Usage: python -m tests.gateway_program DOCUMENT, a JSON object as
`StartedGateway` writes it.
"""

import asyncio
import json
import sys

import uvloop

from cactusledge.gateway.app import GatewayApplication
from cactusledge.gateway.buffer_space import MachineLimits
from cactusledge.gateway.messages import (
    Configuration,
    Engine,
    Limits,
    Repeatability,
    Replica,
    Service,
)
from cactusledge.gateway.parts import GatewayParts
from cactusledge.models import Address
from cactusledge.platform.headers import HeaderDialect
from cactusledge.telemetry.log_writer import LogWriter
from cactusledge.telemetry.logs import configure_logs
from tests.fakes_store import FakeStore
from tests.gateway_support import route

HOST = '127.0.0.1'
LIMITS = {'header_timeout_ms': 800, 'idle_timeout_ms': 15000}


def parts_of(document):
    """Returns the parts of a gateway whose platform does not answer."""
    platform = FakeStore()
    platform.down = True
    return GatewayParts(
        instance='f0',
        data_centre='dc-a',
        callers=Address(HOST, document['callers']),
        readiness=Address(HOST, document['readiness']),
        metrics=Address(HOST, 0),
        peers=Address(HOST, document['peers']),
        seeds=(),
        grace_s=document['grace_s'],
        drain_s=2,
        objects=platform,
        dialect=HeaderDialect(),
        configuration_kind='config',
        endpoint_kind='servers',
        decode_configuration=lambda stored: None,
        decode_replica=lambda stored: None,
        machine=MachineLimits(
            document.get('memory_mb'), document.get('descriptors')
        ),
    )


def routes_of(document):
    """Returns a route for each prefix and its timeout.

    Those whose prefix begins with `/stream` are streams; all run once.
    """
    return tuple(
        route(
            prefix,
            Repeatability.STREAM
            if prefix.startswith('/stream')
            else Repeatability.ONCE,
            timeout_ms=timeout_s * 1000,
        )
        for prefix, timeout_s in document['routes'].items()
    )


async def run(document):
    """Runs the gateway until it is stopped."""
    app = GatewayApplication(parts_of(document))
    services = (Service('svc', 9, Engine(18)),)
    limits = Limits(**document.get('limits', LIMITS))
    app.gateway.apply(Configuration(1, routes_of(document), services, limits))
    app.fleet.replicas.put(
        Replica(
            'e0',
            'svc',
            HOST,
            document['endpoint'],
            'dc-a',
            64,
            is_draining=False,
            born_ms=1,
        )
    )
    await app.run()


def main():
    """Runs the gateway with logs on standard output."""
    writer = LogWriter(sys.stdout)
    configure_logs(
        writer,
        log_format='json',
        level='info',
        instance='f0',
        data_centre='dc-a',
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(json.loads(sys.argv[1])))
    writer.close()


if __name__ == '__main__':
    main()
