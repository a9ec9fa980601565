"""Periodic background tasks of a gateway."""

import asyncio
from collections.abc import Collection

import structlog

from cactusledge.gateway.background_loops import keep_running
from cactusledge.gateway.bootstrap import PeerBootstrap
from cactusledge.gateway.clock import next_tick
from cactusledge.gateway.end_watch import EndWatch
from cactusledge.gateway.forward_peers import ForwardPeers
from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.new_load_exchange import new_load_exchange
from cactusledge.gateway.parts import GatewayParts
from cactusledge.gateway.peer_requests import PeerRequests
from cactusledge.gateway.reach_watch import ReachWatch
from cactusledge.gateway.version_fetch import VersionFetch
from cactusledge.records.client import RecordClient
from cactusledge.records.entries import Member
from cactusledge.records.group_finder import GroupFinder
from cactusledge.records.group_objects import GroupObjects
from cactusledge.records.message_server import MessageServer
from cactusledge.records.reachability import silent_data_centres
from cactusledge.records.relays import Relays

MAINTENANCE_INTERVAL_S = 0.5
START_INTERVAL_S = 0.1  # the same, while this gateway still starts
START_S = 3.0
PARTITION_CHECK_INTERVAL_S = 0.1
END_CHECK_INTERVAL_S = 0.02  # while there is a doubt

log = structlog.get_logger('gateway')


class BackgroundTasks:
    """Maintains connections, loads, reachability and group membership."""

    def __init__(
        self, parts: GatewayParts, gateway: Gateway, records: RecordClient
    ) -> None:
        """Creates the components; no socket is opened yet."""
        self._address = parts.peers
        fleet = gateway.fleet
        self._gateway = gateway
        self._fleet = fleet
        self._records = records
        self._relays = Relays(
            parts.instance,
            Member(str(parts.peers), parts.data_centre),
            records.peers,
        )
        self._load_exchange = new_load_exchange(parts, gateway, records.peers)
        self._finder = GroupFinder(
            records, parts.seeds, GroupObjects(parts.objects)
        )
        self._bootstrap = PeerBootstrap(gateway, self._relays)
        self._version_fetch = VersionFetch(
            gateway.news, self._bootstrap.fetch, fleet.metrics
        )
        self._reach_watch = ReachWatch(fleet)
        self._end_watch = EndWatch(fleet)
        self._forward_peers = ForwardPeers(
            fleet.reach, self._relays, parts.data_centre
        )
        fleet.forwarder.targets = self._forward_peers
        requests = PeerRequests(
            gateway, parts.callers, self._bootstrap, self._relays
        )
        self._messages = MessageServer(requests.handle)

    async def start(self) -> None:
        """Opens the port for messages from other gateways."""
        await self._messages.start(self._address)

    async def run(self) -> None:
        """Runs all background loops until cancelled."""
        loops = (
            self._maintain,
            self._watch_partitions,
            self._relays.run,
            self._load_exchange.run,
            self._forward_peers.run,
            self._watch_reach,
            self._watch_ends,
            self._version_fetch.run,
            self._gateway.watches.run,
        )
        await asyncio.gather(*map(keep_running, loops))

    def stop(self) -> None:
        """Closes the port and its connections."""
        self._messages.stop()
        self._forward_peers.stop()
        self._fleet.forwarder.close()

    async def _watch_partitions(self) -> None:
        """Tracks unreachable data centres and logs changes."""
        loop = asyncio.get_running_loop()
        while True:
            self._records.quorum_state.update(
                has_quorum=self._records.has_quorum
            )
            peers = self._records.peers
            unreachable = silent_data_centres(
                peers.members, peers.direct_names()
            )
            if unreachable != self._fleet.partitions.unreachable:
                log_reachability(unreachable)
            self._fleet.partitions.update(unreachable, loop.time())
            await next_tick(PARTITION_CHECK_INTERVAL_S)

    async def _watch_reach(self) -> None:
        while True:
            await self._reach_watch.step()
            await next_tick(PARTITION_CHECK_INTERVAL_S)

    async def _watch_ends(self) -> None:
        while True:
            await self._fleet.ends.doubted.wait()
            await self._end_watch.step()
            await asyncio.sleep(END_CHECK_INTERVAL_S)

    async def _maintain(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while True:
            self._fleet.pool.close_expired()
            self._fleet.forwarder.close_expired()
            self._fleet.loads.prune(self._fleet.replicas.ids())
            self._fleet.reach.prune(self._fleet.replicas.ids())
            update_gauges(self._gateway, self._records)
            await self._finder.run()
            now_s = loop.time()
            await self._bootstrap.run(now_s)
            await asyncio.sleep(
                maintenance_pause_s(
                    now_s - began_s,
                    lacks_something=self._bootstrap.is_incomplete()
                    or not self._records.has_all_quorums,
                )
            )


def maintenance_pause_s(
    running_for_s: float, *, lacks_something: bool
) -> float:
    """Returns the time until the group and the lists are looked for again."""
    is_starting = lacks_something and running_for_s < START_S
    return START_INTERVAL_S if is_starting else MAINTENANCE_INTERVAL_S


def update_gauges(gateway: Gateway, records: RecordClient) -> None:
    """Sets the gauges of what this gateway knows."""
    metrics = gateway.fleet.metrics
    metrics.put('gateway_endpoints', len(gateway.fleet.replicas))
    metrics.put('gateway_quorum', records.has_quorum)
    metrics.put('gateway_connections', len(gateway.connections))
    metrics.put('gateway_held_bytes', gateway.fleet.pool.space.used)
    metrics.put('gateway_configuration_version', gateway.news.version)
    gateway.watches.update_gauges()
    for shard, peers in records.peers.by_shard.items():
        metrics.put(
            'records_generation', peers.group.generation, shard=str(shard)
        )


def log_failure(task: 'asyncio.Future[None]') -> None:
    """Logs a background loop that has ended with an error."""
    if not task.cancelled() and task.exception() is not None:
        log.error('gateway: background task failed', exc_info=task.exception())


def log_reachability(unreachable: Collection[str]) -> None:
    """Logs the unreachable data centres, or that all are reachable again."""
    if unreachable:
        log.warning('gateway: data centres cut off', names=sorted(unreachable))
    else:
        log.info('gateway: all data centres in reach')
