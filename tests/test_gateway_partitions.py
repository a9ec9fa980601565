"""Exchanges with endpoints in an unreachable data centre.

Guards against turns that hang after a network partition: a third of the turns
may be running in the cut-off data centre, and their callers can retry only
once the gateway ends the exchanges.
"""

import pytest

from cactusledge.gateway.exchange import OpenExchange
from cactusledge.gateway.messages import Repeatability, Replica
from cactusledge.gateway.partitions import SILENCE_TIMEOUT_S, Partitions
from cactusledge.records.entries import Member
from cactusledge.records.reachability import silent_data_centres


class FakeExchange:
    """Stub of an exchange with a fixed time of the last received data."""

    def __init__(self, found, abandoned, last_activity_s, may_be_abandoned):
        self.replica = found
        self.last_activity_s = last_activity_s
        self.may_be_abandoned = may_be_abandoned
        self._abandoned = abandoned

    def abandon(self):
        self._abandoned.append(self.replica.endpoint_id)


def replica(endpoint_id, data_centre):
    return Replica(endpoint_id, 'svc', '10.0.0.1', 80, data_centre, 4, False, 1)


def exchange(
    endpoint_id, data_centre, abandoned, *, last_activity_s=0, may=True
):
    found = replica(endpoint_id, data_centre)
    return FakeExchange(found, abandoned, last_activity_s, may)


def test_only_silent_repeatable_exchanges_in_the_partition_are_abandoned():
    abandoned = []
    partitions = Partitions()
    for open_one in (
        exchange('cut', 'dc-b', abandoned),
        exchange('responsive', 'dc-b', abandoned, last_activity_s=9.9),
        exchange('once', 'dc-b', abandoned, may=False),
        exchange('near', 'dc-a', abandoned),
    ):
        partitions.add(open_one)
    partitions.update(['dc-b'], 10)
    assert abandoned == ['cut']
    partitions.update(['dc-b'], 9.9 + SILENCE_TIMEOUT_S)
    assert sorted(abandoned[1:]) == ['cut', 'responsive']


def test_nothing_is_abandoned_without_a_partition():
    abandoned = []
    partitions = Partitions()
    partitions.add(exchange('slow', 'dc-b', abandoned))
    partitions.update([], 1000)
    assert not abandoned


def test_unreachable_endpoints_are_the_last_choice():
    partitions = Partitions()
    near, far = replica('near', 'dc-a'), replica('far', 'dc-b')
    partitions.update(['dc-b'], 0)
    assert partitions.prefer_reachable([near, far]) == [near]
    assert partitions.prefer_reachable([far]) == [far]
    partitions.update([], 0)
    assert partitions.prefer_reachable([near, far]) == [near, far]


@pytest.mark.parametrize(
    ('reached', 'silent'),
    [
        ({'a1', 'a2', 'b1'}, set()),
        ({'a2', 'b1'}, set()),
        ({'a2'}, {'dc-b'}),
        ({'b1'}, {'dc-a'}),
        (set(), set()),
    ],
)
def test_data_centre_is_silent_once_all_its_stores_are(reached, silent):
    members = {
        'a1': Member('10.0.0.1:1', 'dc-a'),
        'a2': Member('10.0.0.2:1', 'dc-a'),
        'b1': Member('10.0.0.3:1', 'dc-b'),
    }
    assert silent_data_centres(members, reached) == silent


def test_only_repeatable_requests_may_be_abandoned():
    once = OpenExchange(replica('e', 'dc'), None, Repeatability.ONCE)
    stream = OpenExchange(replica('e', 'dc'), None, Repeatability.STREAM)
    assert not once.may_be_abandoned
    assert stream.may_be_abandoned
