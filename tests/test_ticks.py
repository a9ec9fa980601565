"""Periodic work of a process that wakes it up together."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.clock import SHORTEST_SHARE, next_tick, wait_s
from cactusledge.records.load_sharing import SHARE_INTERVAL_S, share_interval_s

INTERVAL_S = 0.05
LOOPS = 5
TICKS = 4


@given(st.floats(0, 1e6), st.sampled_from((0.05, 0.1, 0.5)))
def test_wait_ends_at_a_multiple_and_is_never_shorter_than_told(now_s, every_s):
    left_s = wait_s(now_s, every_s)
    assert SHORTEST_SHARE * every_s <= left_s
    assert left_s < (1 + SHORTEST_SHARE) * every_s + 1e-9
    ticks = (now_s + left_s) / every_s
    assert ticks == pytest.approx(round(ticks), abs=1e-6)


# Ten loops of a gateway woke its process at ten moments in each interval.
def test_loops_with_an_interval_wake_together():
    async def main():
        loop = asyncio.get_running_loop()
        woken = []

        async def work(begin_s):
            await asyncio.sleep(begin_s)
            for _ in range(TICKS):
                await next_tick(INTERVAL_S)
                woken.append(round(loop.time() / INTERVAL_S))

        await asyncio.gather(*(work(index * 0.004) for index in range(LOOPS)))
        return woken

    woken = asyncio.run(main())
    assert len(woken) == LOOPS * TICKS
    assert len(set(woken)) <= TICKS + 1


# Twelve stores told each other their loads 1,320 times a second.
@pytest.mark.parametrize(
    ('others', 'most_a_second'), [(2, 60), (3, 120), (10, 440), (23, 1000)]
)
def test_messages_between_stores_do_not_grow_with_their_square(
    others, most_a_second
):
    interval_s = share_interval_s(others, 0)
    assert interval_s >= SHARE_INTERVAL_S
    assert (others + 1) * others / interval_s <= most_a_second
