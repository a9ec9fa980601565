"""Whether an instance has lost its links to all endpoints; no network.

The pattern: some endpoints crash, drain or fall silent while others are fine,
which must not look like a cut of the instance's own links.
"""

import pytest

from cactusledge.gateway.reach import (
    CONFIRMED_BY,
    FAILURE_TTL_S,
    SILENT_S,
    SUSPECTED_BY,
    EndpointReach,
)


@pytest.fixture(name='reach')
def new_reach():
    reach = EndpointReach()
    reach.listed = 10
    return reach


def fail(reach, count, now_s):
    for number in range(count):
        reach.add_failed(f'e{number}', now_s)


def test_all_links_lost(reach):
    reach.add_received('e9', 1)
    fail(reach, CONFIRMED_BY, 2)
    assert reach.is_stranded(2)
    assert not reach.can_connect(2)


def test_some_endpoints_that_refuse_are_no_cut(reach):
    fail(reach, SUSPECTED_BY, 1)
    assert reach.is_suspected(1)
    assert reach.can_connect(1)


def test_endpoint_that_fails_again_counts_once(reach):
    for at_s in range(CONFIRMED_BY):
        reach.add_failed('e1', at_s / 10)
    assert reach.can_connect(1)


def test_one_success_clears_all_failures(reach):
    fail(reach, CONFIRMED_BY, 1)
    reach.add_connected('e9', 1)
    assert reach.can_connect(1)
    assert not reach.is_suspected(1)


# Open connections lived on while new ones were refused.
def test_instance_that_still_receives_is_not_stranded(reach):
    fail(reach, CONFIRMED_BY, 1)
    reach.add_received('e0', 1)
    assert not reach.is_stranded(1 + SILENT_S / 2)
    assert not reach.can_connect(1 + SILENT_S / 2)
    assert reach.is_stranded(1 + SILENT_S * 2)


# Endpoints that had crashed were taken for lost links, and callers refused,
# while other endpoints answered over open connections.
def test_crashed_endpoints_are_no_cut_while_others_send(reach):
    fail(reach, CONFIRMED_BY, 1)
    reach.add_received('e9', 1.1)
    assert reach.can_connect(1.1)
    assert not reach.is_suspected(1.1)


def test_bytes_of_an_endpoint_that_refuses_prove_no_link(reach):
    fail(reach, CONFIRMED_BY, 1)
    reach.add_received('e0', 1.1)
    assert not reach.can_connect(1.1)


def test_bytes_from_before_the_failures_prove_no_link(reach):
    reach.add_received('e9', 0.9)
    fail(reach, CONFIRMED_BY, 1)
    assert not reach.can_connect(1.1)


def test_old_failures_are_forgotten(reach):
    fail(reach, CONFIRMED_BY, 1)
    assert reach.can_connect(1 + FAILURE_TTL_S)


@pytest.mark.parametrize(('listed', 'failed'), [(1, 1), (2, 2), (3, 3)])
def test_few_endpoints_must_all_fail(reach, listed, failed):
    reach.listed = listed
    fail(reach, failed - 1, 1)
    assert reach.can_connect(1)
    fail(reach, failed, 1)
    assert not reach.can_connect(1)


def test_empty_list_is_no_cut(reach):
    reach.listed = 0
    fail(reach, CONFIRMED_BY, 1)
    assert reach.can_connect(1)
