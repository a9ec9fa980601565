"""An instance whose link to the platform goes silent while it drives a call."""

import pytest

from standins.deployment import wait_until
from standins.tcp_proxy import LinkState
from tests import failure_support as support

start_site = support.start_site
pytestmark = pytest.mark.process

PLACES = {
    'one': {'entry-1': support.BOLE, 'entry-2': support.BOLE},
    'two': {'entry-1': support.BOLE, 'entry-2': 'kirkos'},
}


@pytest.mark.parametrize('places', PLACES)
def test_program_goes_on_at_a_peer_in_reach(start_site, places):
    site = start_site(PLACES[places], delay_s=2)
    client = site.client()
    client.open('entry-1')
    driver = site.driver_of(client)
    heir = site.others(driver)[0]
    call = site.begin(client.confirm, driver, 1)
    wait_until(site.received, 'the service runs it')
    site.links[driver].set_state(LinkState.SILENT)
    call.result()
    wait_until(
        lambda: client.confirm(heir, 1)['outcome'] != 'NOT_RUN',
        'the call is not told as not run',
        timeout_s=support.LONG_S,
    )
