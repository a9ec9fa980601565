"""Chains that do not fit in one message between instances."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.records.entries import Turn
from cactusledge.records.frames import MAX_FRAME_BYTES, encode_frame
from cactusledge.records.message_texts import (
    MESSAGE_BYTES,
    ids_that_fit,
    youngest_that_fit,
)
from cactusledge.records.messages import (
    Append,
    Fetch,
    Query,
    ReserveReply,
)
from cactusledge.records.peer import Peer
from cactusledge.records.quorum import Verdict
from tests.records_support import turn_start, wait_until

TURNS = 11
TEXT_BYTES = 4_000_000  # `max_body_bytes` is 4,194,304
ID_BYTES = 9000
MANY_TURNS = 2500  # of a token each
BUDGET = 3000  # tokens
MANY_IDS = 2_000_000
WAIT_S = 10


@pytest.fixture
def lost_links(monkeypatch):
    """Returns the names of the stores to which connections were lost."""
    lost = []
    make_connection = Peer.connect

    async def connect(peer, timeout_s):
        lost.append(peer.name)
        await make_connection(peer, timeout_s)

    monkeypatch.setattr(Peer, 'connect', connect)
    return lost


def long_id(number):
    return f'{number:06d}'.ljust(ID_BYTES, 'x')


def turn(turn_id, parent_id='', *, size=10):
    text = random.randbytes(size)
    return Turn(turn_id, parent_id, 'p', text, b'out', 1, 'engine-1', ())


async def record_chain(cluster, ids, **options):
    for parent_id, turn_id in zip(('', *ids), ids, strict=False):
        recorded = turn(turn_id, parent_id, **options)
        assert await cluster.client.record(recorded)


async def read_chain(cluster, last_id):
    """Returns the ids of the chain that a turn continues."""
    start = turn_start('next', last_id, budget=BUDGET)
    grant = await cluster.client.begin(start)
    assert grant.verdict is Verdict.GRANTED, grant.reason
    assert all(found.has_text for found in grant.chain)
    return [found.turn_id for found in grant.chain]


async def verdict(cluster, last_id, budget):
    """Returns the verdict on a turn of the chain with a smaller budget."""
    start = turn_start(long_id(MANY_TURNS), last_id, budget=budget)
    return (await cluster.client.begin(start)).verdict


# A store sent a chain with all its texts in one message, which closed the
# connection: the chain could not be continued, and each try took the quorum
# from the turns of all other programs.
@pytest.mark.process
def test_chain_of_large_turns_is_read_and_costs_no_connection(
    run_scenario, lost_links
):
    ids = [f't{number}' for number in range(TURNS)]

    async def scenario(cluster):
        await record_chain(cluster, ids, size=TEXT_BYTES)
        lost_links.clear()
        assert await read_chain(cluster, ids[-1]) == ids
        assert not lost_links

    run_scenario(3, scenario)


# Each text is on another store than the frozen one as well. It could be read
# before the change too.
@pytest.mark.process
def test_chain_of_large_turns_is_read_beside_a_frozen_store(run_scenario):
    ids = [f't{number}' for number in range(TURNS)]

    async def scenario(cluster):
        await record_chain(cluster, ids, size=TEXT_BYTES)
        frozen = asyncio.Event()

        async def freeze(_):
            await frozen.wait()

        cluster.nodes['store-0'].on_request = freeze
        assert await read_chain(cluster, ids[-1]) == ids
        frozen.set()

    run_scenario(3, scenario)


# Ids alone can exceed a message.
@pytest.mark.process
def test_chain_of_many_turns_with_long_ids_is_read(run_scenario, lost_links):
    ids = list(map(long_id, range(MANY_TURNS)))

    async def scenario(cluster):
        chain = [
            turn(turn_id, parent_id)
            for parent_id, turn_id in zip(('', *ids), ids, strict=False)
        ]
        for node in cluster.nodes.values():
            await node.store.log.append(chain)
        lost_links.clear()
        assert await read_chain(cluster, ids[-1]) == ids
        assert await verdict(cluster, ids[-1], MANY_TURNS) is Verdict.SPENT
        assert not lost_links

    run_scenario(3, scenario)


# One message that is too large ended the connection of all that share it.
@pytest.mark.process
def test_message_that_is_too_large_ends_its_request_only(
    run_scenario, lost_links
):
    async def scenario(cluster):
        peer = next(iter(cluster.client.peers.connected()))
        group = cluster.client.group_of('p')
        lost_links.clear()
        huge = turn('t', size=MAX_FRAME_BYTES)
        with pytest.raises(ConnectionError, match='too large'):
            await peer.call(Append(group.generation, [huge]), 1)
        state = cluster.nodes[peer.name].store.log.state
        state.spending['p'] = {f'{one}': (1, True) for one in range(MANY_IDS)}
        query = Query(group.generation, 'p', '', wants_chain=False)
        reply = await peer.call(query, WAIT_S)
        assert 'too large' in reply.reason
        reply = await peer.call(Fetch(group.generation, []), 1)
        assert not reply.turns
        assert not lost_links

    run_scenario(3, scenario)


@given(st.lists(st.integers(0, MESSAGE_BYTES), max_size=12))
def test_end_of_a_chain_fits_in_a_message(sizes):
    turns = [turn('t' * (size + 1)) for size in sizes]
    part = youngest_that_fit(turns)
    assert part == turns[len(turns) - len(part) :]
    assert bool(part) == bool(turns)
    reply = ReserveReply(True, {}, True, list(part))
    assert len(encode_frame(1, reply)) < MAX_FRAME_BYTES


@given(st.lists(st.integers(1, MESSAGE_BYTES), max_size=12))
def test_first_ids_fit_in_a_message(sizes):
    ids = ['t' * size for size in sizes]
    part = ids_that_fit(ids)
    assert part == ids[: len(part)]
    assert bool(part) == bool(ids)
    assert sum(map(len, part)) <= MESSAGE_BYTES


@pytest.mark.process
def test_connections_are_counted_as_they_are_made(run_scenario, lost_links):
    """The check of the tests above sees a connection that is made again."""

    async def scenario(cluster):
        lost_links.clear()
        cluster.nodes['store-0'].reset_connections()
        await wait_until(lambda: 'store-0' in lost_links)

    run_scenario(3, scenario)
