"""Pauses between the rounds of a request to the stores."""

import pytest

from cactusledge.records.retries import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    RetryLimits,
    RetryPauses,
    Sight,
)

START = Sight(now_s=100, generations=(1,), has_quorum=True)
AFAR = START._replace(has_quorum=False)
LONG_S = 10_000
REACH = RetryLimits(out_of_reach_s=1)


def at(sight, after_s, **changes):
    """Returns what is seen some seconds after the start."""
    return sight._replace(now_s=START.now_s + after_s, **changes)


def test_pauses_grow_to_the_longest():
    pauses = RetryPauses(RetryLimits(), START)
    found = [pauses.next_s(START) for _ in range(8)]
    assert found[:3] == [FIRST_PAUSE_S, 2 * FIRST_PAUSE_S, 4 * FIRST_PAUSE_S]
    assert found[-1] == LONGEST_PAUSE_S
    assert found == sorted(found)


# The stores refuse only older groups, so that waiting would be of no use.
def test_newer_group_ends_the_pause_and_its_growth():
    pauses = RetryPauses(RetryLimits(), START)
    for _ in range(4):
        pauses.next_s(START)
    assert pauses.next_s(START._replace(generations=(2,))) == 0
    assert pauses.next_s(START._replace(generations=(2,))) == FIRST_PAUSE_S


# A group adopted in the pause is the one that the next round asks.
def test_group_of_the_next_round_is_not_newer_after_it():
    pauses = RetryPauses(RetryLimits(), START)
    pauses.next_s(START)
    pauses.note(START._replace(generations=(2,)))
    assert pauses.next_s(START._replace(generations=(2,))) > 0


@pytest.mark.parametrize('sight', [START, START._replace(generations=(2,))])
def test_no_round_begins_after_the_total_time(sight):
    pauses = RetryPauses(RetryLimits(total_s=0.7), START)
    assert pauses.next_s(at(sight, 0.69)) is not None
    assert pauses.next_s(at(sight, 0.7)) is None


def test_missing_quorum_ends_it_after_its_time():
    pauses = RetryPauses(REACH, AFAR)
    assert pauses.next_s(at(AFAR, 0.9)) is not None
    assert pauses.next_s(at(AFAR, 1)) is None


# A connection that returns for a moment can carry the write.
def test_quorum_that_returns_starts_the_time_again():
    pauses = RetryPauses(REACH, AFAR)
    pauses.next_s(at(AFAR, 0.5))
    pauses.note(at(START, 0.6))
    assert pauses.next_s(at(AFAR, 1.1)) is not None
    assert pauses.next_s(at(AFAR, 2)) is not None
    assert pauses.next_s(at(AFAR, 2.1)) is None


def test_write_goes_on_while_a_quorum_is_in_reach():
    pauses = RetryPauses(REACH, START)
    assert pauses.next_s(at(START, LONG_S)) == FIRST_PAUSE_S
