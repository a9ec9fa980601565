"""Texts that do not fit in one message between stores together."""

from itertools import starmap

import pytest

from cactusledge.records.draining import StoreDrain
from cactusledge.records.entries import Turn
from cactusledge.records.frames import MAX_FRAME_BYTES
from cactusledge.records.message_texts import (
    MESSAGE_BYTES,
    count_that_fit,
    text_bytes,
)
from tests.records_support import wait_until

TURNS = 12
TEXT_BYTES = 2_300_000  # a prompt within the limits of a configuration


def turn(number, text_bytes):
    text = b'x' * text_bytes
    return Turn(f't{number}', '', 'p', text, b'out', 1, 'engine-1', ())


def is_copied(cluster):
    """Whether each text is on two stores."""
    logs = [node.store.log.state for node in cluster.nodes.values()]
    return all(
        sum(state.has_text(f't{number}') for state in logs) == 2
        for number in range(TURNS)
    )


async def record_large_turns(cluster):
    """Records turns whose texts are larger than a message together."""
    assert TURNS * TEXT_BYTES > MAX_FRAME_BYTES
    for number in range(TURNS):
        assert await cluster.client.record(turn(number, TEXT_BYTES))


@pytest.mark.parametrize(
    ('sizes', 'count'),
    [
        ((MESSAGE_BYTES, 1), 1),
        ((MESSAGE_BYTES * 2, 1), 1),
        ((MESSAGE_BYTES // 2, MESSAGE_BYTES // 3, MESSAGE_BYTES // 2), 2),
        ((10, 10, 10), 3),
        ((), 0),
    ],
)
def test_first_texts_that_fit_go_in_one_message(sizes, count):
    turns = list(starmap(turn, enumerate(sizes)))
    assert count_that_fit(list(map(text_bytes, turns))) == count


# A store that had lost its disk asked for texts of more than a message could
# hold, again and again; neither these nor others got their second copies.
@pytest.mark.process
def test_large_texts_are_restored_after_a_lost_disk(run_scenario):
    async def scenario(cluster):
        await record_large_turns(cluster)
        wiped = cluster.nodes['store-0']
        await wiped.kill()
        wiped.wipe()
        await wiped.start()
        await wait_until(lambda: wiped.is_witness)
        await wait_until(lambda: is_copied(cluster))

    run_scenario(3, scenario)


# The same when a store was drained: it never came to its end.
@pytest.mark.process
def test_store_with_large_texts_can_be_drained(run_scenario):
    async def scenario(cluster):
        await record_large_turns(cluster)
        drained = cluster.nodes['store-0']
        await StoreDrain(drained.store, drained.group_manager).run()
        await cluster.nodes.pop('store-0').kill()
        await wait_until(lambda: is_copied(cluster))

    run_scenario(3, scenario)
