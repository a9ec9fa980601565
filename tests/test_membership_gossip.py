"""Gossip rounds of several instances in simulated time."""

import random
from collections import deque

import pytest
from thrift.transport import TTransport

from cactusledge.peers import convert, gossip
from cactusledge.peers.member_table import Member
from cactusledge.peers.messages import Heartbeat, MemberView
from cactusledge.peers.transport import new_protocol

DATA_CENTRES = 4
INSTANCES = 8
DETECTION_LIMIT_S = 3.0
BYTES_PER_S = 3000  # sent and received, per instance with 8 of them


class GossipSimulation:
    """Instances that exchange heartbeats in simulated time."""

    def __init__(self, seed, instances=INSTANCES):
        self.rng = random.Random(seed)
        self.now_s = 0
        self.states = {}
        for number in range(instances):
            centre = f'dc{number % DATA_CENTRES}'
            view = MemberView(f'{centre}-{number}', '10.0.0.1', 1, centre, 5)
            self.states[view.name] = gossip.GossipState(view)
        self.offsets = {name: self.rng.random() for name in self.states}
        self.dead = set()
        self.refuses_connections = True
        self.partitioned = set()
        self.bytes = 0

    def connect_all(self):
        """Adds all instances to the member table of each."""
        for name, state in self.states.items():
            table = {
                other: Member(self.states[other].me, 0)
                for other in self.states
                if other != name
            }
            self.states[name] = state._replace(table=table)

    def run(self, intervals):
        """Runs whole intervals."""
        deque(self.steps(intervals), maxlen=0)

    def steps(self, intervals):
        """Runs whole intervals; yields after the turn of each instance."""
        for _ in range(intervals):
            start_s = self.now_s
            for name in sorted(self.offsets, key=self.offsets.get):
                self.now_s = start_s + self.offsets[name]
                if name not in self.dead:
                    self._round(name)
                yield name
            self.now_s = start_s + 1

    def live_names(self):
        """Returns the names of the live members as each instance sees them."""
        return {
            name: {one.name for one in state.live(self.now_s).members}
            for name, state in self.states.items()
            if name not in self.dead
        }

    def _round(self, name):
        begun = gossip.begin_round(
            self.states[name],
            self.now_s,
            self.rng.shuffle,
        )
        self.states[name] = begun.state
        for target in begun.targets:
            self._exchange(name, target.name)

    def _exchange(self, name, peer):
        state = self.states[name]
        if peer in self.dead or frozenset((name, peer)) in self.partitioned:
            if self.refuses_connections:
                self.states[name] = gossip.mark_unreachable(state, peer)
            return
        message = gossip.build_heartbeat(state, peer, self.now_s)
        received = gossip.receive(self.states[peer], message, self.now_s)
        self.states[peer] = received.state
        state, views = gossip.receive_reply(
            state,
            received.reply,
            self.now_s,
        )
        self.states[name] = state
        self.bytes += encoded_size(message) + encoded_size(received.reply)
        if views:
            message = Heartbeat(name, views)
            received = gossip.receive(self.states[peer], message, self.now_s)
            self.states[peer] = received.state


def encoded_size(message):
    buffer = TTransport.TMemoryBuffer()
    convert.to_thrift(message).write(new_protocol(buffer))
    return len(buffer.getvalue())


@pytest.fixture(params=range(8))
def simulation(request):
    simulation = GossipSimulation(request.param)
    simulation.connect_all()
    return simulation


def test_running_members_stay_alive_with_limited_traffic(simulation):
    everyone = set(simulation.states)
    for _ in simulation.steps(60):
        assert all(
            seen == everyone for seen in simulation.live_names().values()
        )
    sent_and_received = 2 * simulation.bytes / 60 / INSTANCES
    assert sent_and_received < BYTES_PER_S


def test_far_members_stay_alive_though_heartbeats_carry_a_slice():
    large = GossipSimulation(seed=1, instances=36)
    large.connect_all()
    everyone = set(large.states)
    large.run(66)
    for _ in large.steps(1):
        assert all(seen == everyone for seen in large.live_names().values())


@pytest.mark.parametrize(
    'refuses_connections', [True, False], ids=['process', 'machine']
)
def test_a_dead_instance_is_detected_in_time(simulation, refuses_connections):
    simulation.refuses_connections = refuses_connections
    simulation.run(10)
    dead_name = next(iter(simulation.states))
    simulation.dead.add(dead_name)
    died_s = simulation.now_s
    for _ in simulation.steps(5):
        if simulation.now_s - died_s >= DETECTION_LIMIT_S:
            assert all(
                dead_name not in seen
                for seen in simulation.live_names().values()
            )


def test_a_partition_between_two_does_not_hide_them_from_others(simulation):
    first, second, *others = simulation.states
    simulation.partitioned.add(frozenset((first, second)))
    simulation.refuses_connections = False
    for _ in simulation.steps(30):
        seen = simulation.live_names()
        assert all({first, second} <= seen[name] for name in others)


def test_leaving_spreads_and_is_permanent(simulation):
    name = next(iter(simulation.states))
    simulation.states[name] = gossip.leave(simulation.states[name])
    simulation.run(4)
    for _ in simulation.steps(4):
        for state in simulation.states.values():
            available = state.live(simulation.now_s).available()
            assert name not in {one.name for one in available}


def test_a_restarted_instance_gets_all_members_and_is_seen_as_new(simulation):
    name = next(iter(simulation.states))
    me = simulation.states[name].me
    simulation.states[name] = gossip.GossipState(me._replace(incarnation=6))
    simulation.run(6)
    assert simulation.live_names()[name] == set(simulation.states)
    known = {
        state.table[name].view.incarnation
        for other, state in simulation.states.items()
        if other != name
    }
    assert known == {6}


def test_an_instance_takes_a_newer_incarnation_than_an_earlier_run(simulation):
    state = next(iter(simulation.states.values()))
    earlier = state.me._replace(incarnation=9, leaving=True)
    learned, _ = gossip.merge_message(state, [earlier], (), 0)
    assert learned.me.incarnation == 10
    assert not learned.me.leaving
