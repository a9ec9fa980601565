"""Shares the loads of this store's gateways with the other stores."""

import asyncio
import math
import time

import structlog

from cactusledge.gateway.background_loops import keep_running
from cactusledge.records.gateway_messages import ReadNews, ShareLoads
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.read_parts import ListPosition
from cactusledge.records.store import RecordStore

SHARE_INTERVAL_S = 0.1
INTERVAL_PER_ENDPOINT_S = 0.003  # to limit the bytes sent per second
INTERVAL_PER_STORE_S = 0.025  # each store tells all others
SHARE_TIMEOUT_S = 0.3

log = structlog.get_logger('records')


class LoadSharing:
    """Sends this store's load sums to the others; receives their read parts.

    Gateways report to the first shard only, so other stores share nothing.
    """

    def __init__(self, store: RecordStore, peers: GroupPeers) -> None:
        """Prepares the sharing; `run` starts it."""
        self._store = store
        self._peers = peers
        self._positions: dict[str, ListPosition] = {}  # by store
        self._told_s: dict[str, float] = {}  # when each store last replied

    async def run(self) -> None:
        """Shares loads until it is cancelled, also after an error."""
        await keep_running(self._share)

    async def _share(self) -> None:
        while True:
            sums = self._store.gateways.local_sums()
            is_first = not self._store.group.shard
            links = self._peers.connected() if is_first else ()
            others = set(self._store.group.members) - {self._store.name}
            self._store.gateways.quotas.set_group(others)
            await asyncio.gather(*(self._tell(link, sums) for link in links))
            await asyncio.sleep(share_interval_s(len(others), len(sums)))

    async def _tell(self, link: Link, sums: dict[str, int]) -> None:
        list_position = self._positions.get(link.name, ListPosition())
        gateways = self._store.gateways
        now_s = time.monotonic()
        request = ShareLoads(
            self._store.name,
            sums,
            *list_position,
            leaving=gateways.recent_departures(),
            limits=gateways.limits.known.to_report(now_s),
            demands=gateways.limits.local_demands(now_s),
            gateways=gateways.local_gateways(now_s),
            crashes=gateways.crashes.to_report(now_s),
            configuration=gateways.versions.local(now_s),
            quota_demands=gateways.quotas.local_demands(now_s),
            platform_changes=gateways.changes.seen,
            withdrawals=gateways.withdrawals(self._silent_s(link, now_s)),
            platform_up_s=gateways.uptime.own_s(now_s),
        )
        try:
            reply = await link.call(request, SHARE_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            # Not retried: sums expire soon, and the next step sends new ones.
            log.debug(
                'records: load sharing failed', store=link.name, error=repr(exc)
            )
            return
        self._told_s[link.name] = now_s
        if isinstance(reply, ReadNews):
            self._positions[link.name] = ListPosition(
                reply.epoch, reply.position
            )
            self._store.gateways.add_read_parts(reply.read)

    def _silent_s(self, link: Link, now_s: float) -> float:
        """Returns for how long a store has not replied."""
        return now_s - self._told_s.get(link.name, -math.inf)


def share_interval_s(stores: int, endpoints: int) -> float:
    """Returns the time between two reports to each other store.

    The messages between the stores grow with the square of their number.
    """
    return max(
        SHARE_INTERVAL_S,
        stores * INTERVAL_PER_STORE_S,
        endpoints * INTERVAL_PER_ENDPOINT_S,
    )
