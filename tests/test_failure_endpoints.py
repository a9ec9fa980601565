"""Endpoints leave, hang or go silent; programs loop; callers are gone."""

import pytest
from urllib3.exceptions import HTTPError

from standins.deployment import wait_until
from tests import failure_support as support

define = support.define
start_site = support.start_site
pytestmark = pytest.mark.process

TWO = {'entry-1': support.BOLE, 'entry-2': support.BOLE}
ENGINE = 'engine-bole'
FEW_TOKENS = 10
MANY_CALLS = 10
AT_ONCE = '--operation=confirm={"idempotent": false}'
LONG_ANSWER = 60  # tokens, of 30 ms each
SLOW_ENGINE = ('--token-ms', '30')


def set_fault(site, name, **fault):
    site.deployed.put(name, '/faults', {'faults': [fault] if fault else []})


def engine_records(site, name=ENGINE):
    return site.deployed.get(name, '/records')


def test_leaving_engine_gets_no_new_work_though_the_list_is_stale(start_site):
    site = start_site(TWO, engine=SLOW_ENGINE)
    client, other = site.client('one'), site.client('two')
    client.open('entry-1')
    other.open('entry-2')
    long_call = site.begin(
        client.model, 'entry-2', 1, max_output_tokens=LONG_ANSWER
    )
    wait_until(lambda: engine_records(site)['requests'], 'the stream begun')
    site.deployed.start_engine('engine-2', 'booking-agent', support.BOLE)
    wait_until(lambda: knows_engines(site, 3), 'the second engine listed')
    site.deployed.platform_faults(stale_list=True, watch_silent=True)
    site.deployed.post(ENGINE, '/v1/leave', {})
    first = [other.model('entry-1', seq)['outcome'] for seq in range(1, 5)]
    refused = engine_records(site)['refused']
    later = [other.model('entry-2', seq)['outcome'] for seq in range(5, 9)]
    assert set(first + later) == {'RAN'}
    assert engine_records(site)['refused'] == refused
    answer = long_call.result()
    assert answer['outcome'] == 'RAN'
    assert len(answer['body']['text'].split()) == LONG_ANSWER
    begun = engine_records(site)['requests']
    assert [one['state'] for one in begun] == ['stop']
    assert len(engine_records(site, 'engine-2')['requests']) == len(first) * 2


def test_leaving_service_gets_no_new_calls_though_the_list_is_stale(start_site):
    site = start_site(TWO)
    deployed = site.deployed
    deployed.start_service('booking-2', 'booking', support.BOLE, AT_ONCE)
    wait_until(lambda: knows_engines(site, 3), 'the second replica listed')
    deployed.platform_faults(stale_list=True, watch_silent=True)
    deployed.post('booking-1', '/leave', {})
    client = site.client()
    client.open('entry-1')
    told = [client.confirm('entry-1', 1)]
    while len(told) < 2 * MANY_CALLS:
        seq = 1 + sum(one['outcome'] == 'RAN' for one in told)
        told.append(client.confirm('entry-2', seq))
    outcomes = [one['outcome'] for one in told]
    refused = deployed.get('booking-1', '/records')['refused']
    ran = deployed.get('booking-2', '/records')['executions']
    assert outcomes.count('NOT_RUN') == refused
    assert refused <= 1
    assert outcomes.count('RAN') == len(ran)
    assert not site.executions()


def tokens_sent(site):
    return sum(one['output_tokens'] for one in engine_records(site)['requests'])


def knows_engines(site, count):
    return all(
        len(site.deployed.get(name, '/status')['endpoints']) >= count
        for name in TWO
    )


STREAM_FAULTS = {
    'silent': {'kind': 'silent_at', 'parameter': 10, 'times': 1},
    'closed': {'kind': 'close_at', 'parameter': 10, 'times': 1},
    'no-end': {'kind': 'omit_end', 'times': 1},
}


@pytest.mark.parametrize('fault', STREAM_FAULTS)
def test_stream_that_breaks_is_answered_whole(start_site, fault):
    site = start_site(TWO, engine=SLOW_ENGINE)
    clients = [site.client(name) for name in ('well', 'broken')]
    texts = []
    for client, faults in zip(clients, ({}, STREAM_FAULTS[fault]), strict=True):
        client.open('entry-1')
        set_fault(site, ENGINE, **faults)
        answer = client.model('entry-2', 1, max_output_tokens=LONG_ANSWER)
        texts.append(answer['body']['text'])
    assert len(texts[0].split()) == LONG_ANSWER
    assert texts[0] == texts[1]


def test_connections_gone_silent_while_new_ones_work(start_site):
    site = start_site(TWO, engine=SLOW_ENGINE)
    client = site.client()
    client.open('entry-1')
    call = site.begin(client.model, 'entry-2', 1, max_output_tokens=LONG_ANSWER)
    wait_until(lambda: tokens_sent(site) > FEW_TOKENS, 'tokens on their way')
    site.links['entry-1'].silence_open()
    site.links['entry-2'].silence_open()
    with pytest.raises(HTTPError):  # its own connection is silent as well
        set_fault(site, ENGINE, kind='silence_open')
    answer = call.result()
    assert answer['outcome'] == 'RAN'
    assert len(answer['body']['text'].split()) == LONG_ANSWER
    assert client.confirm('entry-1', 2)['outcome'] == 'RAN'
    assert support.seqs_of(client.history('entry-2')) == [1, 2]


HANGS = {'hang': 0, 'hang_after_effect': 1, 'reset_after_effect': 1}


@pytest.mark.parametrize('kind', HANGS)
def test_hanging_tool_is_answered_at_its_time_limit(start_site, define, kind):
    site = start_site(TWO, definitions=define(timeout_s=2))
    client = site.client()
    client.open('entry-1')
    set_fault(site, 'booking-1', kind=kind, match='/operations')
    told = client.confirm('entry-1', 1)
    assert told['outcome'] == 'UNKNOWN'
    set_fault(site, 'booking-1')
    again = client.confirm('entry-2', 1)
    assert (again['outcome'], again['code']) == (told['outcome'], told['code'])
    assert client.model('entry-2', 2)['outcome'] == 'RAN'
    assert len(site.executions()) == HANGS[kind]
    assert support.seqs_of(client.history('entry-1')) == [1, 2]


LIMITS = {
    'turns': ({'turn_limit': 3}, {'turn_limit'}, 3),
    'spend': ({'budget': 170}, {'budget_exceeded'}, 3),
    'time': ({'time_limit_s': 4}, {'time_limit', 'program_ended'}, 4 / 0.2),
}


@pytest.mark.parametrize('limit', LIMITS)
def test_endless_loop_is_ended(start_site, define, limit):
    limits, codes, most = LIMITS[limit]
    site = start_site(TWO, delay_s=0.2, definitions=define(**limits))
    client = site.client()
    client.open('entry-1')
    answers = [client.confirm('entry-1', 1)]
    while answers[-1]['outcome'] == 'RAN':
        answers.append(client.confirm('entry-1', len(answers) + 1))
    assert answers[-1]['outcome'] == 'NOT_RUN'
    assert answers[-1]['code'] in codes
    view = client.view('entry-2')
    assert len(site.executions()) == view['next_seq'] - 1 == len(answers) - 1
    assert len(site.executions()) <= most
    assert view['spent'] + view['reserved'] <= view['budget']


def test_program_without_its_caller_ends_and_frees_the_cache(
    start_site, define
):
    site = start_site(TWO, definitions=define(idle_limit_s=4))
    client = site.client()
    client.open('entry-1')
    told = client.model('entry-1', 1)
    assert engine_records(site)['cache']
    assert client.model('entry-2', 1)['body'] == told['body']
    assert client.model('entry-2', 2)['outcome'] == 'RAN'
    wait_until(lambda: not engine_records(site)['cache'], 'the cache released')
    view = client.view('entry-2')
    assert view['ended']
    assert support.seqs_of(client.history('entry-2')) == [1, 2]
    refused = client.model('entry-1', 3)
    assert (refused['outcome'], refused['code']) == ('NOT_RUN', 'program_ended')


def test_caller_whose_request_expires_learns_of_the_call_later(start_site):
    limits = {'call_timeout_s': 1.0}
    site = start_site(TWO, delay_s=3, limits=limits)
    client = site.client()
    client.open('entry-1')
    told = client.confirm('entry-1', 1)
    assert (told['outcome'], told['code']) == ('UNKNOWN', 'deadline_exceeded')
    wait_until(
        lambda: client.confirm('entry-2', 1)['outcome'] == 'RAN',
        'the answer is stored',
    )
    assert len(site.executions()) == 1
    assert client.model('entry-1', 2)['outcome'] == 'RAN'
