"""Answers the messages of other gateways."""

import asyncio

from cactusledge.gateway.bootstrap import PeerBootstrap
from cactusledge.gateway.gateway import Gateway
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
        gateway: Gateway,
        callers: Address,
        bootstrap: PeerBootstrap,
        relays: Relays,
    ) -> None:
        """Stores the components and where this gateway takes requests."""
        self._fleet = gateway.fleet
        self._stopping = gateway.admission.stopping
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
        takes_forwarded = self._stopping.rules(now_s).takes_forwarded
        can_connect = self._fleet.reach.can_connect(now_s)
        return EndpointsInReach(
            str(self._callers),
            takes_forwarded and can_connect and len(self._fleet.replicas) > 0,
            self._fleet.partitions.open_count(),
        )
