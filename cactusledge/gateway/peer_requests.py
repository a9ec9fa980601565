"""Answers the messages of other gateways."""

import asyncio

from cactusledge.gateway.bootstrap import PeerBootstrap
from cactusledge.gateway.context import Fleet
from cactusledge.models import Address
from cactusledge.records.gateway_messages import (
    AskBeliefs,
    AskEndpoints,
    EndpointsInReach,
)
from cactusledge.records.messages import Body
from cactusledge.records.relays import Relays


class PeerRequests:
    """Hands each message to the component that answers it."""

    def __init__(
        self,
        fleet: Fleet,
        callers: Address,
        bootstrap: PeerBootstrap,
        relays: Relays,
    ) -> None:
        """Stores the components and where this gateway takes requests."""
        self._fleet = fleet
        self._callers = callers
        self._bootstrap = bootstrap
        self._relays = relays

    async def handle(self, body: Body) -> Body:
        """Returns the reply to a message."""
        if isinstance(body, AskBeliefs):
            return self._bootstrap.snapshot()
        if isinstance(body, AskEndpoints):
            return self._endpoints()
        return await self._relays.handle(body)

    def _endpoints(self) -> EndpointsInReach:
        now_s = asyncio.get_running_loop().time()
        reach = self._fleet.reach
        return EndpointsInReach(
            str(self._callers),
            len(self._fleet.replicas) > 0 and reach.can_connect(now_s),
            self._fleet.partitions.open_count(),
        )
