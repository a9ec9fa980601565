"""What an adapter provides to the gateway, and the watchers built of it."""

import asyncio
from typing import NamedTuple

from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.feeds import Feed, Follower
from cactusledge.gateway.followers import (
    ConfigurationFollower,
    DecodeConfiguration,
    DecodeReplica,
    GroupFollower,
    ReplicaFollower,
)
from cactusledge.gateway.gateway import Gateway
from cactusledge.models import Address
from cactusledge.objects.store import ObjectStore
from cactusledge.objects.watcher import Watcher, WatchTarget
from cactusledge.records.client import RecordClient
from cactusledge.records.group_objects import GROUP_KIND

WATCH_S = 10.0


class GatewayParts(NamedTuple):
    """What an adapter provides."""

    instance: str
    data_centre: str
    callers: Address
    readiness: Address
    peers: Address  # for other gateways, which relay and are relayed
    seeds: tuple[Address, ...]  # record stores that may be asked at the start
    grace_s: float
    objects: ObjectStore
    dialect: Dialect
    configuration_kind: str
    endpoint_kind: str
    decode_configuration: DecodeConfiguration
    decode_replica: DecodeReplica


def start_watchers(
    parts: GatewayParts, gateway: Gateway, records: RecordClient
) -> list[Watcher]:
    """Starts to follow the configuration, the endpoints and the group."""
    followers: dict[str, Follower] = {
        parts.configuration_kind: ConfigurationFollower(
            gateway, parts.decode_configuration
        ),
        parts.endpoint_kind: ReplicaFollower(
            gateway.fleet, parts.decode_replica
        ),
        GROUP_KIND: GroupFollower(records.take_group),
    }
    loop = asyncio.get_running_loop()
    watchers = [
        Watcher(
            parts.objects,
            WatchTarget(kind, timeout_s=WATCH_S),
            Feed(loop, follower),
        )
        for kind, follower in followers.items()
    ]
    for watcher in watchers:
        watcher.start()
    return watchers
