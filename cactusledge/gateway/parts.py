"""What an adapter provides to the gateway, and the watchers built of it."""

import asyncio
from typing import NamedTuple

from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.feeds import Feed, Follower
from cactusledge.gateway.followers import (
    ConfigurationFollower,
    DecodeConfiguration,
    DecodeReplica,
    ReplicaFollower,
)
from cactusledge.gateway.gateway import Gateway
from cactusledge.models import Address
from cactusledge.objects.store import ObjectStore
from cactusledge.objects.watcher import Watcher, WatchTarget

WATCH_S = 20.0
PAUSE_S = 0.25


class GatewayParts(NamedTuple):
    """What an adapter provides."""

    instance: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address  # for other gateways, which relay and are relayed
    seeds: tuple[Address, ...]  # record stores that may be asked at the start
    grace_s: float
    objects: ObjectStore
    dialect: Dialect
    configuration_kind: str
    endpoint_kind: str
    decode_configuration: DecodeConfiguration
    decode_replica: DecodeReplica


def start_watchers(parts: GatewayParts, gateway: Gateway) -> list[Watcher]:
    """Starts to follow the configuration and the endpoints.

    The group is asked of the record stores, which follow it.
    """
    followers: dict[str, Follower] = {
        parts.configuration_kind: ConfigurationFollower(
            gateway, parts.decode_configuration
        ),
        parts.endpoint_kind: ReplicaFollower(
            gateway.fleet, parts.decode_replica
        ),
    }
    loop = asyncio.get_running_loop()
    watchers = [
        Watcher(
            parts.objects,
            WatchTarget(kind, timeout_s=WATCH_S, pause_s=PAUSE_S),
            Feed(loop, follower),
        )
        for kind, follower in followers.items()
    ]
    for watcher in watchers:
        watcher.start()
    return watchers
