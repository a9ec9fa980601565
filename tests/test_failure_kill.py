"""The driver dies at each step of a non-idempotent call."""

import signal
from collections.abc import Callable
from typing import NamedTuple

import pytest

from cactusledge.protocol.records import Intent, OutcomeRecorded
from standins.deployment import wait_until
from standins.tcp_proxy import LinkState
from tests import failure_support as support

start_site = support.start_site
pytestmark = pytest.mark.process


class Step(NamedTuple):
    """When the driver dies, and what may be told of the call then."""

    delay_s: float  # of the service
    before: LinkState  # of the driver's link to the platform
    reach: Callable[[support.Site, str, support.Client], None]
    ran: int  # executions that a repeat leaves behind
    outcomes: frozenset[str]


def intent_waits(site, driver, client):
    site.wait_waiting(driver)


def intent_landed(site, driver, client):
    """The intent is at the platform, but the driver does not know it."""
    wait_until(
        lambda: site.is_recorded(client, Intent, 2),
        'the intent written',
    )


def service_runs(site, driver, client):
    wait_until(site.received, 'the service runs it')


def outcome_waits(site, driver, client):
    wait_until(site.received, 'the service runs it')
    site.links[driver].set_state(LinkState.SILENT)
    site.wait_waiting(driver)


def outcome_landed(site, driver, client):
    """The outcome is at the platform, but the driver does not know it."""
    wait_until(site.received, 'the service runs it')
    site.links[driver].set_state(LinkState.NO_ANSWERS)
    wait_until(
        lambda: site.is_recorded(client, OutcomeRecorded, 2),
        'the outcome written',
    )


RAN = frozenset(('RAN',))
UNKNOWN = frozenset(('UNKNOWN',))
STEPS = {
    'intent-waits': Step(0, LinkState.SILENT, intent_waits, 1, RAN),
    'intent-landed': Step(0, LinkState.NO_ANSWERS, intent_landed, 0, UNKNOWN),
    'service-runs': Step(2, LinkState.OPEN, service_runs, 1, UNKNOWN),
    'outcome-waits': Step(1, LinkState.OPEN, outcome_waits, 1, UNKNOWN),
    'outcome-landed': Step(1, LinkState.OPEN, outcome_landed, 1, RAN),
}


@pytest.mark.parametrize('name', STEPS)
def test_driver_killed_during_a_non_idempotent_call(start_site, name):
    step = STEPS[name]
    site = start_site(delay_s=step.delay_s)
    client = site.client()
    client.open('entry-1')
    assert client.model('entry-1', 1)['outcome'] == 'RAN'
    driver = site.driver_of(client)
    caller = site.others(driver)[0]
    site.wait_durable(driver)
    site.links[driver].set_state(step.before)
    answer = site.begin(client.confirm, caller, 2)
    step.reach(site, driver, client)
    site.deployed.kill(driver)
    heir = site.wait_driver(client)
    first = answer.result()
    again = [client.confirm(entry, 2) for entry in site.others()]
    assert {one['outcome'] for one in again} <= step.outcomes
    assert first['outcome'] in {again[0]['outcome'], 'UNKNOWN'}
    wait_until(lambda: len(site.executions()) >= step.ran, 'the service done')
    assert client.model(heir, 3)['outcome'] == 'RAN'
    assert len(site.executions()) == step.ran
    check_history(client, site)


def check_history(client: support.Client, site: support.Site) -> None:
    """Checks that every instance tells the same whole history."""
    histories = [client.history(entry) for entry in site.others()]
    assert all(one == histories[0] for one in histories)
    assert support.seqs_of(histories[0]) == [1, 2, 3]
    assert [call['request'] for call in histories[0]][1] == {'slot': 2}


@pytest.mark.parametrize('name', ['service-runs', 'outcome-waits'])
def test_driver_paused_past_the_takeover(start_site, name):
    step = STEPS[name]
    site = start_site(delay_s=step.delay_s)
    client = site.client()
    client.open('entry-1')
    client.model('entry-1', 1)
    driver = site.driver_of(client)
    caller = site.others(driver)[0]
    answer = site.begin(client.confirm, caller, 2)
    step.reach(site, driver, client)
    site.deployed.signal(driver, signal.SIGSTOP)
    heir = site.wait_driver(client, driver)
    told = client.confirm(heir, 2)
    assert told['outcome'] == 'UNKNOWN'
    assert client.model(heir, 3)['outcome'] == 'RAN'
    before = client.history(heir)
    site.links[driver].set_state(LinkState.OPEN)
    site.deployed.signal(driver, signal.SIGCONT)
    wait_until(
        lambda: client.log not in site.deployed.get(driver, '/status')['logs'],
        'the paused instance let go of the log',
    )
    first = answer.result()
    assert first['outcome'] == 'UNKNOWN' or not first['durable']
    assert client.confirm(driver, 2) == told
    assert client.model(driver, 4)['outcome'] == 'RAN'
    assert client.history(heir)[:3] == before
    assert client.history(driver) == client.history(heir)
    assert len(site.executions()) == 1
