"""Where a gateway sends requests, from the loads it knows; no network."""

import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.cross_rooms import Surroundings, rooms_of
from cactusledge.gateway.cross_traffic import (
    ANY_WAY,
    HAS_SPARE,
    NO_ENDPOINTS,
    CrossTraffic,
    Sent,
    drawn,
    new_traffic,
)
from cactusledge.gateway.departures import Departures
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.platform.settings import read_price
from cactusledge.records.gateway_messages import LeavingEndpoint
from cactusledge.settings.errors import InvalidSettingsError
from cactusledge.telemetry.metrics import Metrics

HOME = 'dc-a'
SENT = Sent('svc', 'program', 1000, 18)


class Site:
    """A gateway in `dc-a` and endpoints of 10 slots in two data centres."""

    def __init__(self, ids=('a1', 'a2', 'b1', 'b2')):
        self.seen = Surroundings(
            HOME, ReplicaList(), Loads(), Departures(), Partitions()
        )
        self.metrics = Metrics()
        self.cross = CrossTraffic(self.seen, 1000, self.metrics)
        for endpoint_id in ids:
            self.seen.replicas.put(endpoint(endpoint_id))

    def load(self, **in_flight):
        for endpoint_id, count in in_flight.items():
            self.seen.loads.of(endpoint_id).remote_in_flight = count

    def ways(self, count=400, now_s=1):
        """Returns the ways of so many requests on their own."""
        alone = SENT._replace(program_id='')
        return [self.cross.way_of(alone, now_s) for _ in range(count)]


def endpoint(endpoint_id):
    data_centre = f'dc-{endpoint_id[0]}'
    return Replica(endpoint_id, 'svc', '::1', 80, data_centre, 10, False, 1)


@pytest.fixture(name='site')
def make_site():
    return Site()


# Load: engines at home nearly full, and no more.
def test_nothing_changes_while_there_is_room_at_home(site):
    site.load(a1=8, a2=8)
    assert set(site.ways()) == {ANY_WAY}


# Load: engines at home over-full, the others' idle.
def test_a_share_goes_to_the_data_centre_with_room(site):
    site.load(a1=14, a2=14)
    ways = site.ways()
    left = [way for way in ways if way.data_centre == 'dc-b']
    assert len(ways) / 10 < len(left) < len(ways) * 9 / 10
    assert {way.reason for way in left} == {HAS_SPARE}
    assert set(ways) - set(left) == {ANY_WAY}
    candidates = site.seen.replicas.all()
    there = left[0].narrow(candidates)
    assert {one.endpoint_id for one in there} == {'b1', 'b2'}
    kept = left[0].narrow(candidates, 'a1')
    assert {one.endpoint_id for one in kept} == {'a1', 'b1', 'b2'}
    # Home as the fallback.
    assert left[0].narrow([endpoint('a1')]) == [endpoint('a1')]


# Load: the same, without a price: nothing is new where no setting asks for it.
def test_nothing_leaves_by_shares_without_a_price(site):
    site.load(a1=14, a2=14)
    site.cross = new_traffic(site.seen, None, site.metrics)
    assert set(site.ways()) == {ANY_WAY}


# Load: no engine at home.
def test_all_leave_a_data_centre_without_endpoints():
    site = Site(('b1', 'c1'))
    site.load(c1=10)
    ways = site.ways()
    assert {way.data_centre for way in ways} == {'dc-b'}
    assert {way.reason for way in ways} == {NO_ENDPOINTS}


# Load: engines at home over-full, the other data centre is cut off.
def test_nobody_goes_to_a_data_centre_that_is_cut_off(site):
    site.load(a1=14, a2=14)
    site.seen.partitions.update({'dc-b'}, 0)
    assert set(site.ways()) == {ANY_WAY}


# Load: the engines with room are ejected, or leaving.
def test_ejected_and_leaving_endpoints_give_no_room(site):
    site.load(a1=14, a2=14)
    site.seen.loads.of('b1').ejected_until_s = 2
    site.seen.departures.add(LeavingEndpoint('b2', 1), 0, is_own=True)
    assert set(rooms_of(site.seen, 'svc', 1).by_data_centre) == {HOME}
    assert set(site.ways()) == {ANY_WAY}


# Load: one of two engines works slowly.
def test_a_slow_endpoint_counts_for_less_room(site):
    before = rooms_of(site.seen, 'svc', 1).by_data_centre['dc-b'].slots
    site.seen.loads.of('b1').record_success(1000, 1)
    after = rooms_of(site.seen, 'svc', 1).by_data_centre['dc-b'].slots
    assert before / 2 < after < before * 3 / 4


def test_turns_of_a_program_go_to_one_data_centre():
    shares = {'dc-b': 0.3, 'dc-c': 0.2}
    programs = [f'program-{number}' for number in range(2000)]
    went = [drawn(shares, HOME, program) for program in programs]
    assert went == [drawn(shares, HOME, program) for program in programs]
    assert 500 < went.count('dc-b') < 700
    assert 300 < went.count('dc-c') < 500
    # As a share grows, those who left before do not come back.
    more = [drawn({'dc-b': 0.4}, HOME, program) for program in programs]
    assert all(
        new == 'dc-b'
        for old, new in zip(went, more, strict=True)
        if old == 'dc-b'
    )


# Load: a role and a share that change; many requests a second.
def test_a_change_is_logged_once_and_counted(site):
    site.load(a1=14, a2=14)
    with capture_logs() as logs:
        left = next(way for way in site.ways() if way.data_centre == 'dc-b')
        site.ways(now_s=1.5)
        changes = [entry for entry in logs if 'shares' in entry]
    assert len(changes) == 1
    assert changes[0]['role'] == 'sends'
    assert 0 < changes[0]['cost_ms'] < changes[0]['gain_ms']
    assert site.metrics.sample('gateway_cross_share', service='svc') > 0
    site.cross.note_sent(endpoint('b1'), left, 1000)
    site.cross.note_sent(endpoint('a1'), left, 1000)
    counted = site.metrics.sample(
        'gateway_cross_requests_total', reason=HAS_SPARE
    )
    assert counted == 1
    assert site.metrics.sample('gateway_cross_bytes_total') == 1000


@pytest.mark.parametrize('text', ['dear', '-1', 'nan', 'inf'])
def test_a_price_that_is_no_amount_is_refused(text):
    with pytest.raises(InvalidSettingsError, match='CACTUSLEDGE_CROSS'):
        read_price(text)


@pytest.mark.parametrize(
    ('text', 'price'), [('', None), ('0', 0), ('2.5', 2.5)]
)
def test_the_price_is_read_from_the_environment(text, price):
    assert read_price(text) == price
