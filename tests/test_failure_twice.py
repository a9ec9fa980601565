"""Failures that come twice, and operators who publish at the same time."""

import subprocess
import sys

import pytest

from cactusledge.status import ExitStatus
from standins.deployment import ROOT, wait_until
from standins.ports import LOOPBACK
from tests import failure_support as support

define = support.define
start_site = support.start_site
pytestmark = pytest.mark.process

FOUR = {f'entry-{index}': support.BOLE for index in range(1, 5)}
BUDGETS = (111_000, 222_000)
WINS = {int(ExitStatus.OK)}
LOSSES = {int(ExitStatus.CONFLICT)}


def test_driver_and_its_heir_are_killed(start_site):
    site = start_site(FOUR, delay_s=2)
    client = site.client()
    client.open('entry-1')
    client.model('entry-1', 1)
    driver = site.driver_of(client)
    site.begin(client.confirm, site.others(driver)[-1], 2)
    wait_until(site.received, 'the service runs it')
    site.deployed.kill(driver)
    site.deployed.kill(site.wait_driver(client))
    second = site.wait_driver(client)
    again = client.confirm(second, 2)
    assert again['outcome'] == 'UNKNOWN'
    assert client.model(second, 3)['outcome'] == 'RAN'
    site.deployed.kill(second)
    last = site.wait_driver(client)
    assert client.confirm(last, 2) == again
    assert client.confirm(last, 4)['outcome'] == 'RAN'
    assert support.seqs_of(client.history(last)) == [1, 2, 3, 4]
    assert [one['seq'] for one in site.executions()] == ['2', '4']


def begin_publish(site, folder):
    address = f'{LOOPBACK}:{site.deployed.port("platform")}'
    arguments = ('publish', str(folder), '--platform', address)
    return subprocess.Popen(
        (sys.executable, '-m', 'cactusledge', *arguments),
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


FAULTS = {
    'none': {},
    'answers-lost': {'lose_answers_after_effect': 2},
    'answers-cut': {'cut_answers_after_effect': 2},
    'writes-lost': {'lose_before_effect': 2},
}


@pytest.mark.parametrize('fault', FAULTS)
def test_two_operators_publish_at_once(start_site, tmp_path, fault):
    site = start_site({'entry-1': support.BOLE, 'entry-2': support.BOLE})
    folders = [
        support.define_in(tmp_path / str(budget), budget=budget)
        for budget in BUDGETS
    ]
    before = generation(site, 'entry-1')
    site.deployed.platform_faults(**FAULTS[fault])
    racing = [begin_publish(site, folder) for folder in folders]
    statuses = [one.wait(support.LONG_S) for one in racing]
    site.deployed.platform_faults()
    assert set(statuses) <= WINS | LOSSES
    wins = statuses.count(int(ExitStatus.OK))
    assert wins
    wait_until(
        lambda: (
            {generation(site, one) for one in site.others()} == {before + wins}
        ),
        'in force everywhere',
    )
    budgets = {
        site.client(entry).open(entry)['budget'] for entry in site.others()
    }
    assert len(budgets) == 1
    if wins == 1:
        assert budgets == {BUDGETS[statuses.index(int(ExitStatus.OK))]}


def generation(site, entry):
    return site.deployed.get(entry, '/status')['generation']
