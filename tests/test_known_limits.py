"""What an instance knows of the limits that endpoints name."""

import pytest

from cactusledge.platform.headers import HeaderDialect
from cactusledge.records.gateway_messages import NamedLimit
from cactusledge.records.known_limits import (
    ENDED_REPORT_S,
    MIN_RATE_PER_S,
    RETURN_S,
    KnownLimits,
)


def named(per_s, *, born_ms=1, age_s=0, is_ended=False):
    return NamedLimit('e1', born_ms, per_s, age_s, is_ended)


@pytest.fixture(name='limits')
def new_limits():
    return KnownLimits()


@pytest.mark.parametrize(
    ('text', 'per_s'),
    [('2.6', 2.6), ('0', 0), (' 7 ', 7), ('1e3', 1000)],
)
def test_limit_is_read(text, per_s):
    headers = [(b'Server-Limit', text.encode())]
    answer = HeaderDialect().read_answer(200, headers)
    assert (answer.limit_per_s, answer.invalid_limit) == (per_s, '')


@pytest.mark.parametrize('text', ['no', '-1', 'inf', 'nan', '1e99', '1,5'])
def test_unusable_limit_is_told_apart_from_none(text):
    headers = [(b'Server-Limit', text.encode())]
    answer = HeaderDialect().read_answer(200, headers)
    assert (answer.limit_per_s, answer.invalid_limit) == (None, text)


def test_limit_holds_for_its_lifetime_only(limits):
    limits.add(named(2), 0)
    assert limits.rate_per_s('e1', 1, 100) == 2
    assert limits.rate_per_s('e1', 2, 100) is None
    limits.add(named(5, born_ms=2), 100)
    assert not limits.add(named(2), 101)
    assert limits.rate_per_s('e1', 2, 101) == 5


def test_older_observation_does_not_undo_a_later_one(limits):
    limits.add(named(2), 10)
    assert not limits.add(named(9, age_s=1), 10)
    assert limits.add(named(3, age_s=1), 12)
    assert limits.rate_per_s('e1', 1, 12) == 3


def test_traffic_returns_gradually_after_a_limit(limits):
    limits.add(named(2), 0)
    limits.add(named(2, is_ended=True), 1)
    assert limits.rate_per_s('e1', 1, 1) == 2
    assert limits.rate_per_s('e1', 1, 2) == 4
    # Further answers without a limit do not start the return again.
    limits.add(named(2, is_ended=True), 3)
    assert limits.rate_per_s('e1', 1, 3) == 8
    assert limits.rate_per_s('e1', 1, 1 + RETURN_S) is None


def test_endpoint_that_takes_nothing_is_asked_now_and_then(limits):
    limits.add(named(0), 0)
    assert limits.rate_per_s('e1', 1, 1) == MIN_RATE_PER_S


def test_end_of_a_limit_is_reported_for_a_while_only(limits):
    limits.add(named(2), 10)
    assert limits.to_report(12) == [named(2, age_s=2)]
    limits.add(named(2, is_ended=True), 12)
    assert limits.to_report(13) == [named(2, age_s=1, is_ended=True)]
    assert not limits.to_report(12 + ENDED_REPORT_S)
