"""Reading chains whose turns are spread over several shards; no network."""

import asyncio

import pytest

from cactusledge.records.chain_reader import ChainReader
from cactusledge.records.entries import EMPTY_GROUP, Turn
from cactusledge.records.messages import Fetch, Fetched, ReserveReply
from cactusledge.records.quorum import Demand
from cactusledge.records.state import RecordState
from cactusledge.records.turn_start import TurnStart

STORES_OF_A_SHARD = 4
MANY_TURNS = 60


class FakeStore:
    """The records of one store, and how often it was asked for any."""

    def __init__(self, name):
        self.name = name
        self.state = RecordState()
        self.is_silent = False
        self.is_unreachable = False
        self.calls = 0

    async def call(self, request, timeout_s):
        """Replies like a store; a silent one lets the time pass."""
        self.calls += 1
        await asyncio.sleep(0)
        if self.is_silent:
            raise TimeoutError
        if isinstance(request, Fetch):
            found = map(self.state.turns.get, request.turn_ids)
            return Fetched([turn for turn in found if turn and turn.has_text])
        chain = self.state.chain(request.parent_id)
        return ReserveReply(
            is_witness=True, spent={}, knows_parent=bool(chain), chain=chain
        )


class FakeShard:
    """The stores of one shard; all are connected."""

    has_quorum = True

    def __init__(self, number):
        self.stores = [
            FakeStore(f'store-{number}-{index}')
            for index in range(STORES_OF_A_SHARD)
        ]
        self.group = EMPTY_GROUP

    def nearest_first(self):
        """Returns the stores, always in one order."""
        return self.stores

    def names(self):
        """Returns the names of the stores."""
        return frozenset(store.name for store in self.stores)

    def direct(self, name):
        """Returns a store by its name."""
        return next(store for store in self.stores if store.name == name)

    def add(self, turn):
        """Records a turn at a majority; only the last two have its text."""
        self.stores[1].state.apply(turn.without_text())
        for store in self.stores[-2:]:
            store.state.apply(turn)


class FakeShards:
    """Some shards, the first one is that of the program that is asked for."""

    def __init__(self, count):
        self.each = [FakeShard(number) for number in range(count)]

    def add_chain(self, places):
        """Records a turn in each of the shards; returns the turns' ids."""
        ids = [f't{index}' for index in range(len(places))]
        for index, place in enumerate(places):
            parent_id = ids[index - 1] if index else ''
            self.each[place].add(
                Turn(ids[index], parent_id, 'p', b'in', b'out', 1, 'e', ())
            )
        return ids

    def read(self, last_id):
        """Returns the ids of the chain that the reader finds."""
        reader = ChainReader(lambda: self.each, pytest.fail)
        demand = Demand('next', 1, None, last_id)
        start = TurnStart(demand, 'p', wants_chain=True)
        chain = asyncio.run(reader.read(start))
        return [turn.turn_id for turn in chain]

    def calls(self):
        """Returns how often each store was asked."""
        return [store.calls for shard in self.each for store in shard.stores]


@pytest.fixture
def shards():
    """Returns three shards without records."""
    return FakeShards(3)


# A chain that led back to a shard that had been read already was refused as
# unreadable at every try, as each shard was read once.
@pytest.mark.parametrize(
    'places',
    [
        pytest.param([0, 1, 0], id='own shard again'),
        pytest.param([1, 2, 1], id='other shard again'),
        pytest.param([2, 1, 0], id='against the order'),
        pytest.param([0, 0, 1, 1, 2, 0, 1, 2, 2], id='several at a time'),
        pytest.param((0, 1, 2) * (MANY_TURNS // 3), id='at each turn'),
        pytest.param((2, 1, 0) * (MANY_TURNS // 3), id='at each turn, back'),
    ],
)
def test_chain_may_lead_back_to_a_shard(shards, places):
    ids = shards.add_chain(places)
    assert shards.read(ids[-1]) == ids


# A silent store costs a read its time limit; it was asked at each new turn.
def test_silent_store_is_asked_once_a_pass(shards):
    ids = shards.add_chain((0, 1, 2) * (MANY_TURNS // 3))
    for shard in shards.each:
        shard.stores[0].is_silent = True
    assert shards.read(ids[-1]) == ids
    assert [shard.stores[0].calls for shard in shards.each] == [1, 1, 1]


def test_chain_of_one_shard_is_read_from_that_shard_only(shards):
    ids = shards.add_chain([0, 0, 0])
    assert shards.read(ids[-1]) == ids
    assert not any(shards.calls()[STORES_OF_A_SHARD:])


def test_unknown_turn_is_asked_for_once_a_store(shards):
    assert not shards.read('unknown')
    assert set(shards.calls()) == {1}


def test_chain_with_a_turn_that_is_nowhere_cannot_be_read(shards):
    shards.each[0].add(Turn('last', 'lost', 'p', b'in', b'out', 1, 'e', ()))
    assert not shards.read('last')
