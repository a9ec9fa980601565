"""A data centre is cut off from the others, from the platform, from both."""

import signal

import pytest

from standins.deployment import wait_until
from standins.tcp_proxy import LinkState
from tests import failure_support as support

start_site = support.start_site
pytestmark = pytest.mark.process

NEAR = 'entry-1'
FAR = 'entry-2'
TWO_CENTRES = {NEAR: support.BOLE, FAR: 'kirkos'}
CUTS = {
    'others': ('peer_links',),
    'platform': ('links',),
    'both': ('links', 'peer_links'),
}


def set_links(site, kinds, state):
    """Sets the links of the first data centre, those of its peers both ways."""
    if 'links' in kinds:
        site.links[NEAR].set_state(state)
    if 'peer_links' in kinds:
        for link in site.peer_links.values():
            link.set_state(state)


def check_truth(site, client, answer, seq):
    """Checks that a call told as not run did not run, now or later."""
    ran = [one for one in site.executions() if one['seq'] == str(seq)]
    mine = [one for one in ran if one['program'] == client.program_id]
    assert len(mine) <= (answer['outcome'] != 'NOT_RUN')


@pytest.mark.parametrize('state', [LinkState.CUT, LinkState.SILENT])
@pytest.mark.parametrize('cut', CUTS)
def test_data_centre_cut_off_then_healed(start_site, cut, state):
    site = start_site(TWO_CENTRES)
    near, far = site.client('near'), site.client('far')
    for client, entry in ((near, NEAR), (far, FAR)):
        client.open(entry)
        assert client.model(entry, 1)['outcome'] == 'RAN'
        site.wait_durable(entry)
    set_links(site, CUTS[cut], state)
    cut_off = 'links' in CUTS[cut]
    assert near.model(NEAR, 2)['durable'] is not cut_off
    assert far.model(FAR, 2)['durable']
    for client, entry in ((near, NEAR), (near, FAR), (far, FAR), (far, NEAR)):
        check_truth(site, client, client.confirm(entry, 3), 3)
    set_links(site, CUTS[cut], LinkState.OPEN)
    for client, entry in ((near, FAR), (far, NEAR)):
        wait_ran(client.confirm, entry, 3)
        assert client.model(entry, 4)['outcome'] == 'RAN'
        assert support.seqs_of(client.history(entry)) == [1, 2, 3, 4]
    assert len(site.executions()) == 2


def wait_ran(call, entry, seq):
    wait_until(
        lambda: call(entry, seq)['outcome'] == 'RAN',
        f'call {seq} ran',
        timeout_s=support.LONG_S,
    )


LOST = {
    'while-it-runs': (LinkState.OPEN, LinkState.CUT),
    'from-the-start': (LinkState.NO_ANSWERS, LinkState.NO_ANSWERS),
}


@pytest.mark.parametrize('lost', LOST)
def test_forwarded_call_is_not_told_as_not_run(start_site, lost):
    before, during = LOST[lost]
    site = start_site(TWO_CENTRES, delay_s=2)
    client = site.client()
    client.open(NEAR)
    site.peer_links[NEAR].set_state(before)
    call = site.begin(client.confirm, FAR, 1)
    wait_until(site.received, 'the service runs it')
    set_links(site, ('peer_links',), during)
    told = call.result()
    assert told['outcome'] == 'UNKNOWN'
    wait_until(site.executions, 'the service ran it')
    set_links(site, ('peer_links',), LinkState.OPEN)
    wait_ran(client.confirm, FAR, 1)
    assert len(site.executions()) == 1


def test_two_instances_that_do_not_see_each_other(start_site):
    """Both believe to be alone; the platform lets one drive each program."""
    site = start_site({NEAR: support.BOLE, FAR: support.BOLE})
    client = site.client()
    client.open(NEAR)
    driver = site.driver_of(client)
    set_links(site, ('peer_links',), LinkState.CUT)
    site.deployed.signal(driver, signal.SIGSTOP)
    heir = site.wait_driver(client, driver)
    assert client.model(heir, 1)['outcome'] == 'RAN'
    site.deployed.signal(driver, signal.SIGCONT)
    told = [client.confirm(one, 2) for one in (driver, heir, driver, heir)]
    assert 'RAN' in {one['outcome'] for one in told}
    assert len(site.executions()) == 1
    set_links(site, ('peer_links',), LinkState.OPEN)
    wait_ran(client.model, driver, 3)
    assert support.seqs_of(client.history(driver)) == [1, 2, 3]
    assert client.history(driver) == client.history(heir)
