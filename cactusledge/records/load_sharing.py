"""Tells the other stores what the gateways of this one have under way."""

import asyncio

import structlog

from cactusledge.records.gateway_messages import ReadNews, ShareLoads
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.read_parts import ListPosition
from cactusledge.records.store import RecordStore

SHARE_INTERVAL_S = 0.1
INTERVAL_PER_ENDPOINT_S = 0.003  # bounds the bytes sent per second
SHARE_TIMEOUT_S = 0.3

log = structlog.get_logger('records')


class LoadSharing:
    """Each store tells each other one, and learns what that one has heard."""

    def __init__(self, store: RecordStore, peers: GroupPeers) -> None:
        """Keeps whose loads to tell, and to whom."""
        self._store = store
        self._peers = peers
        self._positions: dict[str, ListPosition] = {}  # by store

    async def run(self) -> None:
        """Tells until it is cancelled."""
        while True:
            sums = self._store.gateways.local_sums()
            links = self._peers.connected()
            await asyncio.gather(*(self._tell(link, sums) for link in links))
            await asyncio.sleep(
                max(SHARE_INTERVAL_S, len(sums) * INTERVAL_PER_ENDPOINT_S)
            )

    async def _tell(self, link: Link, sums: dict[str, int]) -> None:
        list_position = self._positions.get(link.name, ListPosition())
        request = ShareLoads(self._store.name, sums, *list_position)
        try:
            reply = await link.call(request, SHARE_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            # Told again in the next step; the sums are short-lived.
            log.debug(
                'records: loads not told', store=link.name, error=repr(exc)
            )
            return
        if isinstance(reply, ReadNews):
            self._positions[link.name] = ListPosition(
                reply.epoch, reply.position
            )
            self._store.gateways.add_read_parts(reply.read)
