"""Lets a gateway that starts without the platform ask another gateway.

The configuration and the endpoints are the platform's to tell. While it does
not answer, a gateway that has just started takes over what one that serves
believes, and goes on with the platform's own lists once these come.
"""

from typing import NamedTuple

import msgspec
import structlog

from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.messages import Configuration, Replica
from cactusledge.models import Address
from cactusledge.records.gateway_messages import AskBeliefs, Beliefs
from cactusledge.records.messages import Body
from cactusledge.records.peer import call_once
from cactusledge.records.relays import Relays

PLATFORM_FIRST_S = 1.0  # for the platform to tell by itself
TIMEOUT_S = 0.5

log = structlog.get_logger('gateway')


class Known(NamedTuple):
    """What a gateway believes of the outside."""

    cfg: Configuration | None
    replicas: tuple[Replica, ...]


DECODER = msgspec.msgpack.Decoder(Known)


class BeliefExchange:
    """Tells others what is believed here, and asks while that is too little."""

    def __init__(self, gateway: Gateway, relays: Relays) -> None:
        """Keeps what to tell and whom to ask."""
        self._gateway = gateway
        self._relays = relays
        self._lacking_since_s: float | None = None

    def knows_too_little(self) -> bool:
        """Returns whether no request can be served for lack of knowledge."""
        replicas = self._gateway.fleet.replicas
        return self._gateway.table is None or not len(replicas)

    def tell(self) -> Beliefs:
        """Returns what is believed here."""
        table = self._gateway.table
        known = Known(
            table.cfg if table else None, self._gateway.fleet.replicas.all()
        )
        return Beliefs(msgspec.msgpack.encode(known))

    async def handle(self, body: Body) -> Body:
        """Serves another gateway."""
        if isinstance(body, AskBeliefs):
            return self.tell()
        return await self._relays.handle(body)

    async def run(self, now_s: float) -> None:
        """Asks the other gateways in turn, if too little is known here."""
        if not self.knows_too_little():
            self._lacking_since_s = None
            return
        if self._lacking_since_s is None:
            self._lacking_since_s = now_s
        if now_s - self._lacking_since_s < PLATFORM_FIRST_S:
            return
        for address in self._relays.neighbours():
            await self._ask(address)
            if not self.knows_too_little():
                return

    async def _ask(self, address: Address) -> None:
        try:
            reply = await call_once(address, AskBeliefs(), TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            log.info(
                'gateway: beliefs not told',
                address=str(address),
                error=repr(exc),
            )
            return
        if isinstance(reply, Beliefs):
            self._take(address, reply)

    def _take(self, address: Address, beliefs: Beliefs) -> None:
        """Takes over what is missing here; leaves out what is unreadable."""
        try:
            known = DECODER.decode(beliefs.content)
        except msgspec.MsgspecError as exc:
            log.warning('gateway: beliefs unreadable', error=repr(exc))
            return
        replicas = self._gateway.fleet.replicas
        if known.cfg is not None:
            self._gateway.apply(known.cfg)
        if not len(replicas):
            for replica in known.replicas:
                replicas.put(replica)
        log.warning(
            'gateway: beliefs taken over',
            address=str(address),
            version=known.cfg.version if known.cfg else 0,
            endpoints=len(replicas),
        )
