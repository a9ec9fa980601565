"""Which endpoints count as ended, from broken connections; no network.

The pattern: connections break because an endpoint crashed, because they alone
were reset, or because this gateway lost its links.
"""

import pytest

from cactusledge.gateway.endpoint_ends import (
    DOUBT_TTL_S,
    EndpointEnds,
    EndSign,
)
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.reach import EndpointReach
from cactusledge.records.gateway_messages import RequestKeys

E1 = Replica('e1', 'svc', '10.0.0.1', 80, 'dc', 8, False, 1)
KEYS = RequestKeys('body', 'target')
find_none = {}.get  # the entries of an empty list


@pytest.fixture(name='reach')
def new_reach():
    return EndpointReach()


@pytest.fixture(name='ends')
def new_ends(reach):
    ends = EndpointEnds(reach)
    ends.add_broken(E1, KEYS, 10)
    return ends


def test_endpoint_that_refuses_while_others_are_reached_has_ended(ends, reach):
    reach.add_failed('e1', 10.1, is_refused=True)
    reach.add_received('e2', 10.2)
    ended = ends.take_ended(find_none, 10.2)
    assert [(one.replica, one.running) for one in ended] == [(E1, (KEYS,))]
    assert ended[0].sign is EndSign.REFUSED
    assert ends.take_ended(find_none, 10.3) == []


def test_request_that_broke_with_an_ended_endpoint_is_told_later(ends, reach):
    reach.add_failed('e1', 10.1, is_refused=True)
    reach.add_received('e2', 10.2)
    ends.take_ended(find_none, 10.2)
    ends.add_broken(E1, RequestKeys('other', 'target'), 10.3)
    ended = ends.take_ended(find_none, 10.3)
    assert [one.running[0].exact for one in ended] == ['other']


# A gateway that lost its own links took all endpoints for crashed.
def test_lost_links_are_no_end(ends, reach):
    reach.add_failed('e1', 10.1, is_refused=True)
    reach.add_received('e2', 9.9)
    assert ends.take_ended(find_none, 10.2) == []


def test_link_that_hangs_is_no_end(ends, reach):
    reach.add_failed('e1', 10.1)
    reach.add_received('e2', 10.2)
    assert ends.take_ended(find_none, 10.2) == []


def test_single_reset_connection_is_no_end(ends, reach):
    reach.add_connected('e1', 10.1)
    reach.add_failed('e1', 10.2, is_refused=True)
    reach.add_received('e2', 10.3)
    assert ends.take_ended(find_none, 10.3) == []
    assert ends.to_test() == []


# An endpoint that was back at once, at the same address, had not ended.
def test_endpoint_back_at_its_address_has_ended_once_listed_anew(ends, reach):
    reach.add_connected('e1', 10.1)
    assert ends.take_ended(find_none, 10.2) == []
    listed = {'e1': E1._replace(born_ms=2)}
    assert len(ends.take_ended(listed.get, 11)) == 1


def test_later_lifetime_in_the_list_shows_the_end(ends):
    listed = {'e1': E1._replace(born_ms=2)}
    ended = ends.take_ended(listed.get, 11)
    assert [one.sign for one in ended] == [EndSign.RESTARTED]


def test_doubts_are_forgotten(ends, reach):
    reach.add_failed('e1', 10.1, is_refused=True)
    reach.add_received('e2', 10.2)
    ends.take_ended(find_none, 10 + DOUBT_TTL_S)
    assert ends.to_test() == []
    assert not ends.doubted.is_set()


# Without other traffic nothing showed that the links were sound.
def test_another_endpoint_is_tested_where_none_was_reached(ends, reach):
    assert ends.needs_other() == []
    reach.add_failed('e1', 10.1, is_refused=True)
    assert ends.needs_other() == ['e1']
    reach.add_connected('e2', 10.2)
    assert ends.needs_other() == []


def test_only_what_is_unclear_is_tested(ends, reach):
    assert ends.to_test() == [E1]
    reach.add_failed('e1', 10.1, is_refused=True)
    assert ends.to_test() == []
