"""The platform is down, slow, or loses its answers."""

import pytest

from standins.deployment import wait_until
from standins.tcp_proxy import LinkState
from tests import failure_support as support

start_site = support.start_site
pytestmark = pytest.mark.process

TWO = {'entry-1': support.BOLE, 'entry-2': support.BOLE}
ENOUGH = 5  # turns


def set_links(site, state):
    for link in site.links.values():
        link.set_state(state)


def texts_of(history):
    return [call['answer'].get('text') for call in history]


@pytest.mark.parametrize('state', [LinkState.CUT, LinkState.SILENT])
def test_program_runs_through_an_outage(start_site, state):
    site = start_site(TWO)
    set_links(site, state)
    client = site.client()
    view = client.open('entry-1')
    assert not view['durable']
    answers = [client.model('entry-2', seq) for seq in range(1, ENOUGH)]
    assert {one['outcome'] for one in answers} == {'RAN'}
    assert not any(one['durable'] for one in answers)
    refused = client.confirm('entry-1', ENOUGH)
    assert refused['outcome'] == 'NOT_RUN'
    assert refused['retry_after_s'] > 0
    assert not site.received()
    set_links(site, LinkState.OPEN)
    for entry in TWO:
        site.wait_durable(entry)
    assert client.confirm('entry-2', ENOUGH)['outcome'] == 'RAN'
    assert len(site.executions()) == 1
    driver = site.driver_of(client)
    site.deployed.kill(driver)
    heir = site.wait_driver(client)
    history = client.history(heir)
    assert support.seqs_of(history) == list(range(1, ENOUGH + 1))
    assert texts_of(history)[:-1] == [one['body']['text'] for one in answers]


@pytest.mark.parametrize('entries', [TWO, support.THREE], ids=['two', 'three'])
def test_driver_killed_during_an_outage(start_site, entries):
    site = start_site(entries)
    clients = [site.client(f'program-{index}') for index in range(4)]
    for client in clients:
        client.open('entry-1')
        client.model('entry-1', 1)
    driver = site.driver_of(clients[0])
    set_links(site, LinkState.CUT)
    calls = [site.begin(one.model, driver, 2) for one in clients]
    answers = [call.result()['body']['text'] for call in calls]
    site.deployed.kill(driver)
    set_links(site, LinkState.OPEN)
    for caller, text in zip(clients, answers, strict=True):
        heir = site.wait_driver(caller)
        assert texts_of(caller.history(heir))[1:] == [text]
        assert caller.model(heir, 3)['outcome'] == 'RAN'


FAULTS = {
    'slow': {'slow_ms': 400},
    'answers-lost-after-effect': {'lose_answers_after_effect': 6},
    'answers-cut-after-effect': {'cut_answers_after_effect': 6},
    'lost-before-effect': {'lose_before_effect': 6},
    'refusing-each-request': {'down': 'answer'},
}


@pytest.mark.parametrize('fault', FAULTS)
def test_platform_at_fault_during_a_program(start_site, fault):
    site = start_site(TWO)
    client = site.client()
    client.open('entry-1')
    site.deployed.platform_faults(**FAULTS[fault])
    told = []
    for seq in range(1, ENOUGH):
        answer = client.model('entry-2', seq)
        assert answer['outcome'] == 'RAN'
        told.append(answer['body']['text'])
    first = client.confirm('entry-1', ENOUGH)
    assert first['outcome'] in {'RAN', 'NOT_RUN'}
    assert len(site.executions()) == (first['outcome'] == 'RAN')
    site.deployed.platform_faults()
    wait_until(
        lambda: client.confirm('entry-2', ENOUGH)['outcome'] == 'RAN',
        'the platform answers',
        timeout_s=support.LONG_S,
    )
    assert len(site.executions()) == 1
    site.deployed.kill(site.driver_of(client))
    history = client.history(site.wait_driver(client))
    assert support.seqs_of(history) == list(range(1, ENOUGH + 1))
    assert texts_of(history)[:-1] == told
