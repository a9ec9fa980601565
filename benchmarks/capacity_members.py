"""Cost of membership: gossip of so many members under a fake clock."""

import random
import time
from collections.abc import Iterator
from operator import itemgetter
from typing import Any, NamedTuple

from thrift.transport import TTransport

from benchmarks.capacity_series import Series
from cactusledge.peers import convert, gossip
from cactusledge.peers.member_table import Member
from cactusledge.peers.messages import Heartbeat, MemberView
from cactusledge.peers.thrift import ttypes
from cactusledge.peers.transport import new_protocol
from cactusledge.programs.logs.peer_directory import member_state

SIZES = (8, 48, 195, 390)
DATA_CENTRES = 8
INTERVALS = 4
SEED = 5
MS_PER_S = 1000


class Cost(NamedTuple):
    """Sum over all members and intervals."""

    messages: int = 0
    wire_bytes: int = 0


class Rounds:
    """Members that exchange heartbeats; every message is encoded."""

    def __init__(self, size: int) -> None:
        """Makes every member know all others."""
        self._random = random.Random(SEED)
        views = [_view(number) for number in range(size)]
        table = {view.name: Member(view, 0) for view in views}
        self._states = {
            view.name: gossip.GossipState(
                view,
                {name: one for name, one in table.items() if name != view.name},
            )
            for view in views
        }
        self.cost = Cost()

    def run(self, interval: int) -> None:
        """Runs one interval of a second."""
        offsets = {name: self._random.random() for name in self._states}
        for name, offset_s in sorted(offsets.items(), key=itemgetter(1)):
            self._round(name, interval + offset_s)

    def change(self, generation: int) -> None:
        """Has all members tell of a new generation."""
        for name, state in self._states.items():
            entries = member_state((), generation, accepts=True)
            version = state.me.version + 1
            me = state.me._replace(version=version, state=entries)
            self._states[name] = state._replace(me=me)

    def _round(self, name: str, now_s: float) -> None:
        shuffle = self._random.shuffle
        begun = gossip.begin_round(self._states[name], now_s, shuffle)
        self._states[name] = begun.state
        for target in begun.targets:
            self._exchange(name, target.name, now_s)

    def _exchange(self, name: str, peer: str, now_s: float) -> None:
        message = gossip.build_heartbeat(self._states[name], peer, now_s)
        received = self._receive(peer, message, now_s)
        reply = self._sent(received, ttypes.HeartbeatReply)
        state, views = gossip.receive_reply(self._states[name], reply, now_s)
        self._states[name] = state
        if views:
            self._receive(peer, Heartbeat(name, views), now_s)

    def _receive(self, peer: str, message: Heartbeat, now_s: float) -> Any:
        arrived = self._sent(message, ttypes.Heartbeat)
        exchange = gossip.receive(self._states[peer], arrived, now_s)
        self._states[peer] = exchange.state
        return exchange.reply

    def _sent(self, message: Any, struct: type[Any]) -> Any:
        """Encodes, counts and decodes a message."""
        out = TTransport.TMemoryBuffer()
        convert.to_thrift(message).write(new_protocol(out))
        encoded = out.getvalue()
        self.cost = Cost(
            self.cost.messages + 1,
            self.cost.wire_bytes + len(encoded),
        )
        arrived = struct()
        arrived.read(new_protocol(TTransport.TMemoryBuffer(encoded)))
        return convert.from_thrift(arrived)


def _view(number: int) -> MemberView:
    centre = f'data-centre-{number % DATA_CENTRES}'
    state = member_state((f'{centre}-0',), 1, accepts=True)
    return MemberView(
        f'{centre}-{number}', '10.0.0.1', 1, centre, time.time_ns(), state=state
    )


def _measure(size: int) -> tuple[float, ...]:
    rounds = Rounds(size)
    began_s = time.process_time()
    for interval in range(INTERVALS):
        rounds.run(interval)
    cpu_ms = (time.process_time() - began_s) * MS_PER_S
    per_node = size * INTERVALS
    steady = rounds.cost
    rounds.change(2)
    for interval in range(INTERVALS):
        rounds.run(INTERVALS + interval)
    changed = rounds.cost.wire_bytes - 2 * steady.wire_bytes
    return (
        size,
        steady.messages * 2 / per_node,
        steady.wire_bytes * 2 / per_node,
        cpu_ms / per_node,
        changed * 2 / size,
    )


def series() -> Iterator[Series]:
    """Measures membership at several sizes."""
    yield Series(
        'Membership',
        (
            'members',
            'messages/s, in and out',
            'bytes/s, in and out',
            'CPU ms/s',
            'bytes a change of all',
        ),
        tuple(_measure(size) for size in SIZES),
        f'{DATA_CENTRES} data centres, heartbeats each second, thrift included;'
        f' frames and TCP/IP headers not. The last column is what a new'
        f' generation in all members adds in the {INTERVALS} s after it.',
    )
