"""One round of requests to the members of a group."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Generic, NamedTuple

from cactusledge.records.entries import Group
from cactusledge.records.links import Link
from cactusledge.records.messages import Body, ReserveReply, StaleGroup
from cactusledge.records.peer import Peer
from cactusledge.records.quorum import (
    ReplyType,
    quorum,
    replies_on_current_disks,
)
from cactusledge.records.round_summary import ReplyKind, RoundSummary

LATE_REPLIES_WAIT_S = 0.006  # for more replies after a quorum


class PreparedRequest(NamedTuple):
    """An encoded request to one member."""

    peer: Link
    number: int
    content: bytes


def prepare_requests(
    peers: Iterable[Link], body: Body
) -> list[PreparedRequest]:
    """Returns the same request encoded for several members."""
    number, content = Peer.prepare(body)
    return [PreparedRequest(peer, number, content) for peer in peers]


class Confirmations(Generic[ReplyType]):
    """The replies of one group, also those that come after their round."""

    def __init__(self, group: Group) -> None:
        """Starts without replies; the newest round sets `on_added`."""
        self.group = group
        self.replies: dict[str, ReplyType] = {}  # by member
        self.on_added: Callable[[], object] = list

    def add(self, name: str, reply: ReplyType) -> None:
        """Adds a member's reply, in place of an earlier one."""
        self.replies[name] = reply
        self.on_added()


class NewestGroup:
    """The reply with the newest group, of those that refused an older one."""

    def __init__(self, asked: Group) -> None:
        """Starts with the group that was asked."""
        self.reply: StaleGroup | None = None
        self._asked = asked

    def note(self, reply: StaleGroup) -> None:
        """Keeps a reply if its group is newer than any before."""
        known = self.reply.group if self.reply else self._asked
        is_same = reply.group.shard == self._asked.shard
        if is_same and reply.group.generation > known.generation:
            self.reply = reply


class Round(Generic[ReplyType]):
    """Collects replies until a short wait after a quorum.

    It ends as well when all have arrived, or a quorum cannot reply any more.

    `stale` is the reply with the newest group, if any member refused with one
    that is newer than the group asked.
    """

    def __init__(
        self,
        wanted: type[ReplyType],
        group: Group,
        required: Iterable[str] = (),
        earlier: Confirmations[ReplyType] | None = None,
    ) -> None:
        """Prepares a round.

        Args:
            wanted: The type of the replies that count.
            group: The group that is asked; a quorum of it has to reply.
            required: Members whose replies are needed as well.
            earlier: Replies to the same request, which count here if they are
                of the same group.
        """
        if earlier is None or earlier.group != group:
            earlier = Confirmations(group)
        self.confirmations = earlier
        self.confirmations.on_added = self._finish_if_decided
        self._newest = NewestGroup(group)
        self._wanted = wanted
        self._group = group
        self._needed = quorum(group)
        self._required = frozenset(required)
        self._outstanding = 0
        self._others: dict[str, ReplyKind] = {}  # that do not count
        self._started_s = time.monotonic()
        self._wait_s = LATE_REPLIES_WAIT_S
        self._is_waiting = False
        self._finished: asyncio.Future[None] | None = None

    @property
    def stale(self) -> StaleGroup | None:
        """The refusal with the newest group, if it is newer than the asked."""
        return self._newest.reply

    @property
    def replies(self) -> dict[str, ReplyType]:
        """The replies by member, without those from disks since lost."""
        return replies_on_current_disks(self.confirmations.replies)

    @property
    def is_enough(self) -> bool:
        """Whether a quorum and all required members have replied."""
        if len(self.confirmations.replies) < self._needed:
            return False
        has_quorum = self._confirmed() >= self._needed
        return has_quorum and self._required <= self.replies.keys()

    @property
    def answered(self) -> frozenset[str]:
        """The members that replied, whatever their reply was."""
        return frozenset(self.confirmations.replies).union(
            name
            for name, kind in self._others.items()
            if kind is not ReplyKind.LOST
        )

    @property
    def summary(self) -> RoundSummary:
        """What the replies were so far."""
        kinds = Counter(self._others.values())
        return RoundSummary(
            generation=self._group.generation,
            shard=self._group.shard,
            needed=self._needed,
            confirmed=self._confirmed(),
            stale=kinds[ReplyKind.STALE],
            failed=kinds[ReplyKind.FAILED],
            lost=kinds[ReplyKind.LOST],
            silent=self._outstanding,
            missing=tuple(sorted(self._required - self.replies.keys())),
            took_s=time.monotonic() - self._started_s,
        )

    async def run(
        self,
        requests: Sequence[PreparedRequest],
        timeout_s: float,
        wait_s: float = LATE_REPLIES_WAIT_S,
    ) -> None:
        """Sends the requests and collects the replies."""
        loop = asyncio.get_running_loop()
        finished = loop.create_future()
        self._finished = finished
        self._wait_s = wait_s
        missing = [one for one in requests if one.peer.name not in self.replies]
        self._outstanding = len(missing)
        for request in missing:
            self._send(request)
        limit = loop.call_later(timeout_s, self._finish)
        self._finish_if_decided()
        try:
            await finished
        finally:
            limit.cancel()

    def _send(self, request: PreparedRequest) -> None:
        fut = request.peer.send(request.number, request.content)
        name = request.peer.name
        fut.add_done_callback(lambda done: self._on_reply(name, done))

    def _on_reply(self, name: str, fut: asyncio.Future[Body]) -> None:
        self._outstanding -= 1
        if fut.cancelled() or fut.exception() is not None:
            self._others[name] = ReplyKind.LOST
        else:
            self._sort_reply(name, fut.result())
        self._finish_if_decided()

    def _finish_if_decided(self) -> None:
        if not self._outstanding or not self._may_be_enough():
            self._finish()
        elif self.is_enough and not self._is_waiting:
            self._is_waiting = True
            asyncio.get_running_loop().call_later(self._wait_s, self._finish)

    def _may_be_enough(self) -> bool:
        """Whether the outstanding replies may still make it enough."""
        if not self._required.isdisjoint(self._others):
            return False
        return self._confirmed() + self._outstanding >= self._needed

    def _confirmed(self) -> int:
        """Returns how many replies count towards the quorum."""
        return len(self.replies)

    def _sort_reply(self, name: str, reply: Body) -> None:
        if isinstance(reply, self._wanted):
            self.confirmations.add(name, reply)
        elif isinstance(reply, StaleGroup):
            self._others[name] = ReplyKind.STALE
            self._newest.note(reply)
        else:
            self._others[name] = ReplyKind.FAILED

    def _finish(self) -> None:
        if self._finished is not None and not self._finished.done():
            self._finished.set_result(None)


class WitnessRound(Round[ReserveReply]):
    """A round that needs a quorum of witnesses; the others reply as well."""

    def _confirmed(self) -> int:
        return sum(reply.is_witness for reply in self.replies.values())
