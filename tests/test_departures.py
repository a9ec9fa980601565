"""Endpoints that are leaving: whom a request may still be sent to.

The pattern: endpoints say so in answers while lists of endpoints, older and
newer, come and go and instances tell each other what they saw.
"""

from itertools import starmap

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cactusledge.gateway.departures import REPORT_S, Departures
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.records.gateway_messages import LeavingEndpoint
from cactusledge.records.recent_departures import (
    DEPARTURE_TTL_S,
    RecentDepartures,
)

WINDOW_S = 2.0
IDS = ('e1', 'e2', 'e3')


def replica(endpoint_id, born_ms, port=80):
    """One lifetime of an endpoint."""
    return Replica(
        endpoint_id, 'svc', '10.0.0.1', port, 'dc-a', 4, False, born_ms
    )


class DepartingEndpoints(RuleBasedStateMachine):
    """Lifetimes begin and leave; lists, answers and reports arrive late."""

    lists = Bundle('lists')

    def __init__(self):
        """Starts without endpoints."""
        super().__init__()
        self.now_s = float(0)
        self.departures = Departures(WINDOW_S)
        self.replicas = ReplicaList()
        self.born = dict.fromkeys(IDS, 1)  # current lifetime
        self.seen_s = {}  # lifetime -> when it was first known to leave

    @initialize(target=lists)
    def first_list(self):
        return dict(self.born)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now_s += seconds

    @rule(endpoint_id=st.sampled_from(IDS))
    def restart(self, endpoint_id):
        self.born[endpoint_id] += 1

    @rule(target=lists)
    def list_now(self):
        return dict(self.born)

    @rule(listed=lists, after_outage=st.booleans())
    def receive_list(self, listed, after_outage):
        """Receives a list, which may be older than what is known."""
        self.replicas.replace_all(
            list(starmap(replica, listed.items())),
            self.now_s,
            after_outage=after_outage,
        )

    @rule(endpoint_id=st.sampled_from(IDS), is_own=st.booleans())
    def leave(self, endpoint_id, is_own):
        leaving = LeavingEndpoint(endpoint_id, self.born[endpoint_id])
        self.departures.add(leaving, self.now_s, is_own=is_own)
        self.seen_s.setdefault(leaving, self.now_s)

    @rule(ago_s=st.floats(0, 5))
    def send(self, ago_s):
        """No request goes to a lifetime that left too long before it."""
        received_s = self.now_s - ago_s
        listed = self.replicas.usable('svc', self.now_s)
        usable = self.departures.usable(listed, received_s)
        for one in usable:
            seen_s = self.seen_s.get((one.endpoint_id, one.born_ms))
            assert seen_s is None or received_s <= seen_s + WINDOW_S

    @invariant()
    def staying_endpoints_are_preferred(self):
        listed = self.replicas.usable('svc', self.now_s)
        staying = [
            one
            for one in listed
            if not any(
                known.endpoint_id == one.endpoint_id
                and known.born_ms >= one.born_ms
                for known in self.seen_s
            )
        ]
        if staying:
            assert self.departures.usable(listed, self.now_s) == staying


TestDepartingEndpoints = DepartingEndpoints.TestCase


def test_new_endpoint_at_the_address_of_one_that_left_is_used():
    departures = Departures(0)
    departures.add(LeavingEndpoint('e1', 5), 0, is_own=True)
    assert departures.is_leaving(replica('e1', 5))
    assert not departures.is_leaving(replica('e2', 5))
    assert not departures.is_leaving(replica('e1', 6))
    assert departures.is_leaving(replica('e1', 4, port=81))


# A list from before the restart gave the ended lifetime a new window.
def test_lifetime_before_the_one_that_leaves_gets_nothing():
    departures = Departures(WINDOW_S)
    departures.add(LeavingEndpoint('e1', 5), 0, is_own=True)
    assert departures.usable([replica('e1', 5)], 1)
    assert not departures.usable([replica('e1', 4)], 1)


def test_only_own_recent_departures_are_reported():
    departures = Departures(0)
    departures.add(LeavingEndpoint('e1', 5), 0, is_own=True)
    departures.add(LeavingEndpoint('e2', 5), 0, is_own=False)
    assert departures.to_report(0) == [LeavingEndpoint('e1', 5)]
    assert not departures.to_report(REPORT_S)


def test_store_passes_a_departure_on_for_a_limited_time():
    recent = RecentDepartures()
    leaving = LeavingEndpoint('e1', 5)
    recent.add([leaving], 0)
    recent.add([leaving], 1)
    assert recent.recent(1) == [leaving]
    assert not recent.recent(DEPARTURE_TTL_S)
