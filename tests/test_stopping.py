"""The states of a stop, with any arrivals, lengths and signals."""

import math
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactusledge.gateway.route_durations import WINDOW_S, RouteDurations
from cactusledge.gateway.stopping import (
    READINESS_PROPAGATION_S,
    RULES,
    STOP_MARGIN_S,
    TIMEOUT_SLACK_S,
    Need,
    Stopping,
    StopState,
)

BEGAN_S = 100
STEP_S = 0.01
HEADER_TIMEOUT_S = 3
ROUNDING_S = 1e-6

times_s = st.floats(-30, 30).map(lambda after_s: BEGAN_S + after_s)
graces_s = st.floats(0, 30)


class Arrival(NamedTuple):
    """A request that can be served from a time on.

    On a new or kept connection, or forwarded, it is served once it is complete.
    A pipelined one waits for others, while its time limit runs. One that is
    read for a while holds the stop for the header timeout.
    """

    at_s: float
    waits_s: float  # behind others of its connection
    reads_s: float  # from its first byte until it is complete
    limit_s: float  # its own time limit
    likely_s: float  # what its route has lately needed
    takes_s: float  # part of the limit

    @property
    def need(self):
        until_s = self.at_s - self.waits_s + self.limit_s
        return Need(until_s, self.at_s + self.likely_s)

    @property
    def end_s(self):
        left_s = max(0, self.need.until_s - self.at_s)
        return self.at_s + self.takes_s * left_s

    def is_half_read(self, now_s):
        """Returns whether it is being read and its time is not over."""
        begins_s = self.at_s - self.waits_s - self.reads_s
        read_s = min(self.reads_s, HEADER_TIMEOUT_S)
        return begins_s <= now_s < begins_s + read_s


arrivals = st.builds(
    Arrival,
    at_s=times_s,
    waits_s=st.just(0) | st.floats(0, 5),
    reads_s=st.just(0) | st.floats(0, 5),
    limit_s=st.floats(0, 60),
    likely_s=st.floats(0, 60) | st.just(math.inf),
    takes_s=st.floats(0, 1),
)


def play(grace_s, coming, signals=()):
    """Lets requests come until the stop is over.

    Returns the stop, when it was over, and the admitted and refused requests.
    """
    stopping = Stopping()
    admitted, refused = [], []
    coming = sorted(coming)
    signals = sorted((*signals, BEGAN_S))
    held = None
    now_s = min([BEGAN_S, *[one.at_s for one in coming]])
    while not stopping.is_over(
        now_s, is_busy=is_busy(admitted, now_s) or are_read(held, now_s)
    ):
        for signal_s in take_due(signals, now_s, lambda one: one):
            stopping.begin(signal_s, grace_s)
        if held is None and now_s >= stopping.closing_s:
            held = hold(stopping, coming, now_s)
        for arrival in take_due(coming, now_s, lambda one: one.at_s):
            is_admitted = stopping.admits(arrival.need, arrival.at_s)
            (admitted if is_admitted else refused).append(arrival)
        now_s += STEP_S
    stopping.end()
    return stopping, now_s, admitted, refused


def take_due(waiting, now_s, time_of):
    """Removes and yields what is due, in order."""
    while waiting and time_of(waiting[0]) <= now_s:
        yield waiting.pop(0)


def hold(stopping, coming, now_s):
    """Lets the stop wait for requests that are half read; returns them."""
    held = [one for one in coming if one.is_half_read(now_s)]
    if held:
        stopping.wait_until(now_s + HEADER_TIMEOUT_S)
    return held


def are_read(held, now_s):
    return any(one.is_half_read(now_s) for one in held or ())


def is_busy(admitted, now_s):
    return any(one.end_s > now_s for one in admitted)


# A request was admitted that the grace period had no time for, and was cut.
@given(graces_s, st.lists(arrivals, max_size=12))
def test_what_is_admitted_as_certain_is_never_cut(grace_s, coming):
    stopping, over_s, admitted, _ = play(grace_s, coming)
    for one in admitted:
        if one.need.until_s <= stopping.limit_s:
            assert one.end_s <= over_s + ROUNDING_S


# A request was admitted by what its route needs, and was cut all the same.
@given(graces_s, st.lists(arrivals, max_size=12))
def test_what_takes_as_long_as_expected_is_never_cut(grace_s, coming):
    stopping, over_s, admitted, _ = play(grace_s, coming)
    for one in admitted:
        if one.at_s >= stopping.began_s and one.end_s <= min(one.need):
            assert one.end_s <= over_s + ROUNDING_S


# The stop waited for longer than its longest request.
@given(graces_s, st.lists(arrivals, max_size=12))
def test_stop_takes_no_longer_than_the_longest_request(grace_s, coming):
    stopping, over_s, admitted, _ = play(grace_s, coming)
    latest_s = max([one.need.until_s for one in admitted], default=0)
    if any(one.is_half_read(stopping.closing_s) for one in coming):
        latest_s = max(latest_s, stopping.closing_s + HEADER_TIMEOUT_S)
    bound_s = min(max(stopping.closing_s, latest_s), stopping.limit_s)
    assert over_s <= bound_s + TIMEOUT_SLACK_S + 2 * STEP_S
    if not is_busy(admitted, stopping.closing_s) and not any(
        one.reads_s for one in coming
    ):
        assert over_s <= max(BEGAN_S, stopping.closing_s) + 2 * STEP_S


# A request of a usually quick route came late, took longer, and was cut.
@given(graces_s, st.lists(arrivals, max_size=12))
def test_what_comes_late_is_never_cut(grace_s, coming):
    stopping, over_s, admitted, _ = play(grace_s, coming)
    for one in admitted:
        if one.at_s >= stopping.closing_s:
            assert one.end_s <= over_s + ROUNDING_S


def needed_until_s(stopping, one):
    """Returns when a request ends, by what counts at the time it comes."""
    is_late = one.at_s >= stopping.closing_s
    return one.need.until_s if is_late else min(one.need)


# A refusal left out what could have been served.
@given(graces_s, st.lists(arrivals, max_size=12))
def test_what_fits_is_served_until_the_stop_is_over(grace_s, coming):
    stopping, _, _, refused = play(grace_s, coming)
    for one in refused:
        assert needed_until_s(stopping, one) > stopping.limit_s


# A request was taken that neither its limit nor, while callers come as usual,
# its route lets end in time.
@given(graces_s, st.lists(arrivals, max_size=12))
def test_what_does_not_fit_is_refused(grace_s, coming):
    stopping, _, admitted, _ = play(grace_s, coming)
    for one in admitted:
        if one.at_s >= stopping.began_s:
            assert needed_until_s(stopping, one) <= stopping.limit_s


# A second signal began the grace period anew.
@given(graces_s, st.lists(st.floats(0, 20), max_size=4))
def test_further_signals_change_nothing(grace_s, later_s):
    again_s = [BEGAN_S + one for one in later_s]
    once, over_s, _, _ = play(grace_s, ())
    twice, over_again_s, _, _ = play(grace_s, (), again_s)
    assert (once.began_s, once.limit_s) == (twice.began_s, twice.limit_s)
    assert over_s == over_again_s


# A process that was paused took the time since its wake for the time left.
@given(graces_s, st.floats(0, 60), st.floats(0, 60))
def test_pause_uses_up_the_grace_period(grace_s, pause_s, limit_s):
    stopping = Stopping()
    stopping.begin(BEGAN_S, grace_s)
    now_s = BEGAN_S + pause_s
    until_s = now_s + limit_s
    is_admitted = stopping.admits(Need(until_s, math.inf), now_s)
    ends_s = BEGAN_S + max(0, grace_s - STOP_MARGIN_S)
    assert is_admitted is (until_s <= ends_s)


@given(graces_s, st.lists(st.floats(0, 40), min_size=2))
def test_states_follow_one_another(grace_s, after_s):
    order = list(StopState)
    stopping = Stopping()
    seen = [stopping.state(BEGAN_S - 1)]
    stopping.begin(BEGAN_S, grace_s)
    seen += [stopping.state(BEGAN_S + one) for one in sorted(after_s)]
    stopping.end()
    seen.append(stopping.state(BEGAN_S))
    numbers = [order.index(state) for state in seen]
    assert numbers == sorted(numbers)
    assert (seen[0], seen[-1]) == (StopState.SERVING, StopState.ENDED)


# Readiness was withdrawn and callers were turned away at the same moment.
def test_balancer_has_time_to_notice():
    stopping = Stopping()
    stopping.begin(BEGAN_S, 8)
    assert not stopping.rules(BEGAN_S).is_ready
    assert not stopping.rules(BEGAN_S).takes_forwarded
    before_s = BEGAN_S + READINESS_PROPAGATION_S - STEP_S
    assert stopping.rules(before_s).accepts_connections
    assert not stopping.rules(before_s).closes_connections
    assert stopping.rules(before_s + 2 * STEP_S).closes_connections


@pytest.mark.parametrize('state', StopState)
def test_each_state_has_rules(state):
    assert state in RULES


# A long route was refused before the balancer had noticed, though it is quick.
def test_route_needs_what_it_has_lately_needed():
    durations = RouteDurations()
    assert durations.longest_s('r', 0) is None
    for key, took_s in enumerate((0.5, 2, 1)):
        durations.begin(key, 'r', 10)
        durations.end(key, 10 + took_s, counts=True)
    assert durations.longest_s('r', 13) == 2
    assert durations.longest_s('other', 13) is None
    assert durations.longest_s('r', 13 + 2 * WINDOW_S) is None


# A quick refusal, or a request that still runs, made a route seem quick.
def test_refusals_do_not_count_and_running_requests_do():
    durations = RouteDurations()
    durations.begin('refused', 'r', 10)
    durations.end('refused', 10, counts=False)
    assert durations.longest_s('r', 10) is None
    durations.begin('quick', 'r', 10)
    durations.end('quick', 10.5, counts=True)
    durations.begin('running', 'r', 10)
    assert durations.longest_s('r', 14) == 4
