"""Estimates of tool pauses."""

import pytest

from cactusledge.routing.pauses import MAX_KEYS, PauseEstimates

CASES = (
    ((), 1),
    ((4,), 4),
    ((4, 4), 4),
    ((10, 0), 8),
    ((0, 10), 2),
)


@pytest.mark.parametrize(('seen', 'expected_s'), CASES)
def test_estimate_follows_the_pauses(seen, expected_s):
    pauses = PauseEstimates()
    for pause_s in seen:
        pauses.observe('tool', pause_s)
    assert pauses.expected_s('tool', 1) == pytest.approx(expected_s)


def test_number_of_tools_is_bounded():
    pauses = PauseEstimates()
    for tool in range(MAX_KEYS + 1):
        pauses.observe(tool, 5)
    assert pauses.expected_s(MAX_KEYS - 1, 1) == 5
    assert pauses.expected_s(MAX_KEYS, 1) == 1
