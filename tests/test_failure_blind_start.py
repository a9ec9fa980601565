"""An instance that starts while the platform does not answer it."""

import time

import pytest

from standins.tcp_proxy import LinkState
from tests import failure_support as support

start_site = support.start_site
define = support.define
pytestmark = pytest.mark.process

WATCHED_S = 4.0  # longer than the peers take to believe the instance alive


def test_calls_of_others_do_not_wait_for_it(start_site, define):
    site = start_site(definitions=define(turn_limit=9999, budget=999999999))
    clients = [site.client(f'program-{index}') for index in range(6)]
    for client in clients:
        client.open('entry-2')
    deployed = site.deployed
    deployed.stop('entry-1')
    site.links['entry-1'].set_state(LinkState.SILENT)
    seeds = [deployed.peers_port(one) for one in site.others('entry-1')]
    support.start_entry(site, 'entry-1', support.BOLE, seeds)
    answers = []
    ends_s = time.monotonic() + WATCHED_S
    while time.monotonic() < ends_s:
        seq = len(answers) // len(clients) + 1
        answers += [caller.model('entry-2', seq) for caller in clients]
    assert {one.get('outcome') for one in answers} == {'RAN'}
    assert not deployed.get('entry-1', '/status')['ready']
    site.links['entry-1'].set_state(LinkState.OPEN)
    deployed.wait_ready('entry-1')
