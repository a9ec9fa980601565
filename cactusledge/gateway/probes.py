"""Tests whether endpoints take connections."""

import structlog

from cactusledge.gateway.context import Fleet
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.pool import EndpointUnreachableError

log = structlog.get_logger('gateway')


async def takes_connections(fleet: Fleet, replica: Replica) -> bool:
    """Opens a connection to an endpoint and keeps it for a request."""
    try:
        await fleet.pool.probe(replica)
    except EndpointUnreachableError as exc:
        log.info(
            'gateway: probe of endpoint failed',
            endpoint_id=replica.endpoint_id,
            error=str(exc),
        )
        return False
    return True
