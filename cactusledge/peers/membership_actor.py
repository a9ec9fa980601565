"""Actor that owns the gossip state of an instance."""

import random
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import pykka

from cactusledge.models import Address
from cactusledge.peers import gossip
from cactusledge.peers.liveness import LiveMembers
from cactusledge.peers.messages import Heartbeat, HeartbeatReply, MemberView

MAX_PENDING = 16  # heartbeats in flight
LOST_CONTACT_ROUNDS = 2  # rounds between attempts to reach a lost member


class Contact(NamedTuple):
    """Recipient of a heartbeat; `name` is '' if only its address is used."""

    name: str
    address: Address


class ActorCallbacks(NamedTuple):
    """Callbacks of the actor; they must not block."""

    send: Callable[[Contact, Heartbeat, Any], None]  # reports to the actor
    publish: Callable[[LiveMembers], None]


class MembershipActor(pykka.ThreadingActor):
    """Runs the gossip rounds and merges incoming messages."""

    def __init__(
        self,
        me: MemberView,
        seeds: Iterable[Address],
        callbacks: ActorCallbacks,
        interval_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Starts with no other member known."""
        super().__init__()
        self._state = gossip.GossipState(me, interval_s=interval_s)
        self._seeds = frozenset(seeds)
        self._callbacks = callbacks
        self._clock = clock
        self._pending: set[Address] = set()
        self._published: LiveMembers | None = None
        self._proxy: Any = None

    def on_start(self) -> None:
        """Creates the proxy that receives the results of heartbeats."""
        self._proxy = self.actor_ref.proxy()

    def tick(self) -> None:
        """Starts a round: sends the heartbeats that are due."""
        now_s = self._clock()
        begun = gossip.begin_round(self._state, now_s, random.shuffle)
        self._state = begun.state
        for view in begun.targets:
            self._send(Contact(view.name, address_of(view)))
        for address in self._sample_lost_contact():
            self._send(Contact('', address))
        self._publish()

    def receive(self, message: Heartbeat) -> HeartbeatReply:
        """Merges a peer's heartbeat and returns the reply."""
        exchange = gossip.receive(self._state, message, self._clock())
        self._state = exchange.state
        self._publish()
        return exchange.reply

    def handle_reply(self, contact: Contact, reply: HeartbeatReply) -> None:
        """Merges a reply; sends the views that the peer wants."""
        self._pending.discard(contact.address)
        state, views = gossip.receive_reply(self._state, reply, self._clock())
        self._state = state
        if views:
            self._send_message(contact, Heartbeat(self._state.me.name, views))
        self._publish()

    def handle_failure(self, contact: Contact, *, delivered: bool) -> None:
        """Handles a heartbeat without a reply."""
        self._pending.discard(contact.address)
        if not delivered:
            self.mark_unreachable(contact.name)

    def mark_unreachable(self, name: str) -> None:
        """Excludes a member until its counter grows."""
        self._state = gossip.mark_unreachable(self._state, name)
        self._publish()

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Adds addresses at which to look for instances."""
        self._seeds = self._seeds.union(seeds)

    def set_state(self, key: str, data: bytes) -> None:
        """Sets an entry of the state published to the peers."""
        self._state = gossip.set_state(self._state, key, data)
        self._publish()

    def leave(self) -> None:
        """Marks this incarnation as leaving and starts a round at once."""
        self._state = gossip.leave(self._state)
        self.tick()

    def _send(self, contact: Contact) -> None:
        if contact.address in self._pending:
            return
        if len(self._pending) >= MAX_PENDING:
            return
        now_s = self._clock()
        message = gossip.build_heartbeat(self._state, contact.name, now_s)
        self._send_message(contact, message)

    def _send_message(self, contact: Contact, message: Heartbeat) -> None:
        self._pending.add(contact.address)
        self._callbacks.send(contact, message, self._proxy)

    def _sample_lost_contact(self) -> tuple[Address, ...]:
        """Returns at most one random address without a live member.

        Heartbeats to such addresses find members that return.
        """
        live = self._state.live(self._clock()).members
        if len(live) > 1 and self._state.round_number % LOST_CONTACT_ROUNDS:
            return ()
        known = {
            address_of(one.view)
            for one in self._state.table.values()
            if not one.view.leaving
        }
        lost = (known | self._seeds) - {address_of(view) for view in live}
        return tuple(random.sample(sorted(lost), k=min(1, len(lost))))

    def _publish(self) -> None:
        live = self._state.live(self._clock())
        if self._published and equal_except_counters(self._published, live):
            return
        self._published = live
        self._callbacks.publish(live)


def address_of(view: MemberView) -> Address:
    """Returns the address at which a member receives messages."""
    return Address(view.host, view.port)


def equal_except_counters(left: LiveMembers, right: LiveMembers) -> bool:
    """Returns whether both are equal, apart from their counters."""
    if len(left.members) != len(right.members):
        return False
    return all(
        one._replace(counter=0) == other._replace(counter=0)
        for one, other in zip(left.members, right.members, strict=True)
    )
