"""Tells the other stores what the gateways of this one have under way."""

import asyncio

import structlog

from cactusledge.records.gateway_messages import ReadNews, ShareLoads
from cactusledge.records.links import Link
from cactusledge.records.peers import GroupPeers
from cactusledge.records.read_parts import Place
from cactusledge.records.store import RecordStore

STEP_S = 0.1
ENTRY_S = 0.003  # added for an endpoint, so that the bytes a second stay few
TIMEOUT_S = 0.3

log = structlog.get_logger('records')


class LoadSharing:
    """Each store tells each other one, and learns what that one has heard."""

    def __init__(self, store: RecordStore, peers: GroupPeers) -> None:
        """Keeps whose loads to tell, and to whom."""
        self._store = store
        self._peers = peers
        self._places: dict[str, Place] = {}  # by store

    async def run(self) -> None:
        """Tells until it is cancelled."""
        while True:
            sums = self._store.gateways.own_sums()
            links = self._peers.connected()
            await asyncio.gather(*(self._tell(link, sums) for link in links))
            await asyncio.sleep(max(STEP_S, len(sums) * ENTRY_S))

    async def _tell(self, link: Link, sums: dict[str, int]) -> None:
        place = self._places.get(link.name, Place())
        request = ShareLoads(self._store.name, sums, *place)
        try:
            reply = await link.call(request, TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            # Told again in the next step; the sums are short-lived.
            log.debug(
                'records: loads not told', store=link.name, error=repr(exc)
            )
            return
        if isinstance(reply, ReadNews):
            self._places[link.name] = Place(reply.epoch, reply.position)
            self._store.gateways.learn(reply.read)
