"""The components an adapter provides to the gateway, and its watchers."""

import asyncio
from typing import NamedTuple

from cactusledge.gateway.buffer_space import MachineLimits
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.followers import (
    ConfigurationFollower,
    DecodeConfiguration,
    DecodeReplica,
    ReplicaFollower,
)
from cactusledge.gateway.gateway import Gateway
from cactusledge.models import Address
from cactusledge.objects.feeds import Feed
from cactusledge.objects.store import ObjectStore
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher

WATCH_TIMEOUT_S = 20.0
CONFIGURATION_PAUSE_S = 0.25
ENDPOINT_PAUSE_S = 0.75  # many change together during a service release


class GatewayParts(NamedTuple):
    """Settings and components that an adapter provides."""

    instance: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address  # for messages from other gateways, such as relayed requests
    seeds: tuple[Address, ...]  # record stores to contact at startup
    grace_s: float
    drain_s: float  # for which an endpoint serves once it is leaving
    objects: ObjectStore
    dialect: Dialect
    configuration_kind: str
    endpoint_kind: str
    decode_configuration: DecodeConfiguration
    decode_replica: DecodeReplica
    # What a megabyte between data centres is worth, in ms of a caller's time.
    cross_ms_per_mb: float | None = None
    machine: MachineLimits = MachineLimits()


def start_watchers(parts: GatewayParts, gateway: Gateway) -> list[Watcher]:
    """Starts to watch the configuration and the endpoints.

    They are added to the gateway's watches. The group is not watched: the
    record stores watch it and are asked for it.
    """
    configurations = ConfigurationFollower(gateway, parts.decode_configuration)
    endpoints = ReplicaFollower(gateway.fleet, parts.decode_replica)
    loop = asyncio.get_running_loop()
    followed = (
        (
            parts.configuration_kind,
            Feed(loop, configurations, gateway.news.note_watch),
            CONFIGURATION_PAUSE_S,
        ),
        (parts.endpoint_kind, Feed(loop, endpoints), ENDPOINT_PAUSE_S),
    )
    watchers = [
        Watcher(
            parts.objects,
            WatchTarget(kind, timeout_s=WATCH_TIMEOUT_S, pause_s=pause_s),
            feed,
        )
        for kind, feed, pause_s in followed
    ]
    for watcher in watchers:
        gateway.watches.add(watcher)
        watcher.start()
    return watchers
