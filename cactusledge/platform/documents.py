"""Decodes platform objects: the configuration and endpoints."""

from collections.abc import Mapping
from ipaddress import ip_address
from types import MappingProxyType
from typing import Any

import structlog

from cactusledge.gateway.messages import (
    Configuration,
    Engine,
    Limits,
    Repeatability,
    Replica,
    Route,
    Service,
    Share,
)
from cactusledge.objects.store import StoredObject
from cactusledge.platform.accounts import decode_accounts

CONFIGURATION_NAME = 'main'

REPEATABILITY: Mapping[str, Repeatability] = MappingProxyType({
    'safe': Repeatability.IDEMPOTENT,
    'unsafe': Repeatability.ONCE,
    'stream': Repeatability.STREAM,
})
ENDPOINT_STATES = frozenset(('ready', 'draining'))
DEFAULT_ATTEMPTS = 2
DEFAULT_LIMITS = Limits()
MAX_PORT = 65535
MAX_NUMBER = 9_007_199_254_740_991  # that every JSON writer keeps exactly
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)

log = structlog.get_logger('platform')


def decode_configuration(stored: StoredObject) -> Configuration | None:
    """Returns the configuration, None for another or an invalid object."""
    if stored.name != CONFIGURATION_NAME:
        return None
    try:
        return to_configuration(stored.body)
    except DECODE_ERRORS:
        log.exception(
            'platform: invalid configuration ignored',
            version=stored.version,
        )
        return None


def to_configuration(spec: Mapping[str, Any]) -> Configuration:
    """Converts the body of a configuration object."""
    return Configuration(
        version=int(spec['version']),
        routes=tuple(to_route(route) for route in spec['routes']),
        services=tuple(to_service(service) for service in spec['services']),
        limits=to_limits(spec.get('limits', {})),
        accounts=decode_accounts(spec),
    )


def to_limits(spec: Mapping[str, Any]) -> Limits:
    """Converts the limits on requests; missing ones get the defaults."""
    default = DEFAULT_LIMITS
    return Limits(
        header_bytes=int(spec.get('max_header_bytes', default.header_bytes)),
        body_bytes=int(spec.get('max_body_bytes', default.body_bytes)),
        header_timeout_ms=float(
            spec.get('header_timeout_ms', default.header_timeout_ms)
        ),
        idle_timeout_ms=float(
            spec.get('idle_timeout_ms', default.idle_timeout_ms)
        ),
    )


def to_route(spec: Mapping[str, Any]) -> Route:
    """Converts a route to one service or a weighted split over several."""
    split = spec.get('split') or [{'service': spec['service'], 'weight': 1}]
    return Route(
        name=spec['name'],
        host=spec['host'].lower(),
        prefix=spec['path_prefix'],
        repeatability=REPEATABILITY[spec['kind']],
        timeout_ms=float(spec['timeout_ms']),
        target_latency_ms=float(spec.get('target_latency_ms', 0)),
        priority=int(spec.get('priority', 0)),
        shares=tuple(
            Share(part['service'], int(part['weight'])) for part in split
        ),
        max_attempts=int(spec.get('max_attempts', DEFAULT_ATTEMPTS)),
        keeps_turns=bool(spec.get('retain_context', False)),
        retention_s=float(spec.get('retention_s', 0)),
        is_resumable=bool(spec.get('resumable', False)),
        is_public=bool(spec.get('public', False)),
    )


def to_service(spec: Mapping[str, Any]) -> Service:
    """Converts a service."""
    engine = spec.get('engine')
    return Service(
        name=spec['name'],
        max_connections=int(spec.get('max_conns', 0)),
        engine=Engine(int(engine['tokens_per_event'])) if engine else None,
    )


def decode_replica(stored: StoredObject) -> Replica | None:
    """Returns the endpoint of a list entry, None for an invalid entry."""
    try:
        return to_replica(stored.name, stored.body)
    except DECODE_ERRORS as exc:
        log.info(
            'platform: invalid endpoint entry left out',
            endpoint_id=stored.name,
            error=repr(exc),
        )
        return None


def is_ending(stored: StoredObject) -> bool:
    """Returns whether an endpoint's entry takes no new requests."""
    return stored.body.get('state') == 'draining'


def is_count(found: object) -> bool:
    """Returns whether a field is an integer that messages can carry."""
    if isinstance(found, bool) or not isinstance(found, int):
        return False
    return 0 <= found <= MAX_NUMBER


def to_replica(endpoint_id: str, spec: Mapping[str, Any]) -> Replica:
    """Converts an endpoint entry.

    Raises one of `DECODE_ERRORS` if a field is missing or has another type.
    """
    host, _, port_text = spec['address'].rpartition(':')
    ip_address(host)
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'unusable address {host}:{port}')
    service, zone, state = spec['service'], spec['zone'], spec['state']
    slots, born = spec['slots'], spec.get('born', 0)
    if not all(isinstance(name, str) and name for name in (service, zone)):
        raise TypeError('service and zone must be non-empty strings')
    if state not in ENDPOINT_STATES:
        raise ValueError(f'unknown state {state}')
    if not is_count(slots) or not is_count(born) or not slots:
        raise TypeError('slots must be 1 or more, born an integer of 0 or more')
    return Replica(
        endpoint_id=endpoint_id,
        service=service,
        host=host,
        port=port,
        data_centre=zone,
        slots=slots,
        is_draining=state == 'draining',
        born_ms=born,
    )
