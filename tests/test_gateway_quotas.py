"""Requests of accounts with quotas, behind several gateways.

The pattern: an account sends many times its quota through all gateways, and
its programs need many requests each.
"""

import asyncio
from collections import Counter

import pytest
from structlog.testing import capture_logs

from cactusledge.gateway.messages import Account, CallInfo, Quota
from cactusledge.gateway.program_ranks import IN_PROGRESS, LAST, ProgramRanks
from cactusledge.records.gateways import GatewayRegistry
from tests.gateway_endpoints import Endpoint, answered
from tests.gateway_support import running_gateways
from tests.store_stubs import StubGrants, exchanging

GATEWAYS = 3
QUOTA = Quota(10, 5)
RUN_S = 3.0
PAUSE_S = 0.03  # between the calls of a gateway
INFO = CallInfo('r', 'h', '/', None, 'p1', None, None, '', 0, 0, (), '')


class GateOfAccount:
    """Gives all calls an account, as their keys would."""

    def __init__(self, gate, account):
        self._gate = gate
        self._account = account

    async def wait_s(self, call):
        return await self._gate.wait_s(call._replace(account=self._account))


def give_account(harnesses, account):
    """Gives all calls of gateways an account."""
    for harness in harnesses:
        gate = GateOfAccount(harness.fleet.quotas, account)
        harness.gateway.fleet = harness.fleet._replace(quotas=gate)


def denials(harness):
    """Returns the requests that a gateway has refused."""
    metrics = harness.fleet.metrics
    return metrics.sample('gateway_quota_total', decision='denied')


def press(quota):
    """Calls several gateways; returns statuses, denials and log lines."""
    account = Account('acme', frozenset(), quota=quota)
    statuses = Counter()

    async def call(harness):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RUN_S
        while loop.time() < end_s:
            caller = await harness.call('/once/x')
            statuses[(await caller.read())[0]] += 1
            caller.writer.close()
            await asyncio.sleep(PAUSE_S)

    async def main():
        registry = GatewayRegistry()
        started = running_gateways(
            GATEWAYS, Endpoint(answered), grants=StubGrants(registry)
        )
        async with started as harnesses, exchanging(registry, harnesses):
            give_account(harnesses, account)
            await asyncio.gather(*map(call, harnesses))
            return sum(map(denials, harnesses))

    with capture_logs() as lines:
        denied = asyncio.run(main())
        over = [line for line in lines if 'quota' in line['event']]
        return statuses, denied, over


# One account at 9 times its quota took the room of all others.
@pytest.mark.process
def test_account_over_its_quota_is_refused():
    statuses, denied, lines = press(QUOTA)
    assert set(statuses) == {200, 429}
    assert statuses[200] <= (QUOTA.rate_per_s * RUN_S + QUOTA.burst) * 1.1 + 20
    assert statuses[200] >= 0.8 * QUOTA.rate_per_s * RUN_S
    assert denied == statuses[429]
    assert len(lines) <= GATEWAYS


@pytest.mark.process
@pytest.mark.parametrize('quota', [None, Quota(0, 0)])
def test_account_without_a_quota_is_not_counted(quota):
    statuses, denied, lines = press(quota)
    assert (set(statuses), denied, lines) == ({200}, 0, [])


# All programs of an account ended half done, instead of some of them whole.
@pytest.mark.parametrize(
    ('changes', 'rank'),
    [
        ({'program_id': ''}, LAST),
        ({'program_id': '', 'parent_id': 't1'}, LAST),
        ({'parent_id': 't1'}, IN_PROGRESS),
        ({'program_id': 'begun'}, IN_PROGRESS),
    ],
)
def test_programs_in_progress_go_first(changes, rank):
    ranks = ProgramRanks()
    ranks.note_taken(INFO._replace(program_id='begun'))
    assert ranks.rank(INFO._replace(**changes)) == rank


def test_new_programs_have_the_same_rank_at_all_gateways():
    first, second = ProgramRanks().rank(INFO), ProgramRanks().rank(INFO)
    assert first == second
    assert IN_PROGRESS < first < LAST
