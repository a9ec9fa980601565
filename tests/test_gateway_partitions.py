"""A data centre that is cut off, while turns run on its engines.

The load answered here: a partition strikes in the middle of the day, a third
of the turns are under way behind it, and their callers can only try again
once somebody tells them that it is over.
"""

import pytest

from cactusledge.gateway.exchange import OpenExchange
from cactusledge.gateway.messages import Repeatability, Replica
from cactusledge.gateway.partitions import SILENCE_S, Partitions
from cactusledge.records.entries import Member
from cactusledge.records.membership import first_group
from cactusledge.records.reachability import silent_data_centres


class FakeExchange:
    """A request under way at an endpoint that was last heard of once."""

    def __init__(self, found, given_up, heard_s, may_be_given_up):
        self.replica = found
        self.heard_s = heard_s
        self.may_be_given_up = may_be_given_up
        self._given_up = given_up

    def give_up(self):
        self._given_up.append(self.replica.endpoint_id)


def replica(endpoint_id, data_centre):
    return Replica(endpoint_id, 'svc', '10.0.0.1', 80, data_centre, 4, False, 1)


def exchange(endpoint_id, data_centre, given_up, *, heard_s=0, may=True):
    found = replica(endpoint_id, data_centre)
    return FakeExchange(found, given_up, heard_s, may)


def test_only_silent_turns_behind_the_partition_are_given_up():
    given_up = []
    partitions = Partitions()
    for open_one in (
        exchange('cut', 'dc-b', given_up),
        exchange('heard', 'dc-b', given_up, heard_s=9.9),
        exchange('once', 'dc-b', given_up, may=False),
        exchange('near', 'dc-a', given_up),
    ):
        partitions.add(open_one)
    partitions.update(['dc-b'], 10)
    assert given_up == ['cut']
    partitions.update(['dc-b'], 9.9 + SILENCE_S)
    assert sorted(given_up[1:]) == ['cut', 'heard']


def test_nothing_is_given_up_without_a_partition():
    given_up = []
    partitions = Partitions()
    partitions.add(exchange('slow', 'dc-b', given_up))
    partitions.update([], 1000)
    assert not given_up


def test_endpoints_out_of_reach_are_the_last_choice():
    partitions = Partitions()
    near, far = replica('near', 'dc-a'), replica('far', 'dc-b')
    partitions.update(['dc-b'], 0)
    assert partitions.in_reach([near, far]) == [near]
    assert partitions.in_reach([far]) == [far]
    partitions.update([], 0)
    assert partitions.in_reach([near, far]) == [near, far]


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
    group = first_group(members, copies=2)
    assert silent_data_centres(group, reached) == silent


def test_repeatable_requests_are_given_up():
    once = OpenExchange(replica('e', 'dc'), None, Repeatability.ONCE)
    stream = OpenExchange(replica('e', 'dc'), None, Repeatability.STREAM)
    assert not once.may_be_given_up
    assert stream.may_be_given_up
