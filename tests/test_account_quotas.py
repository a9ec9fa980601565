"""What a gateway takes of an account, by what stores have replied; pure."""

import pytest

from cactusledge.gateway.account_quotas import AccountQuotas, Ask
from cactusledge.gateway.endpoint_limits import Admission
from cactusledge.gateway.messages import Quota
from cactusledge.records.demands import Demands
from cactusledge.records.gateway_messages import Granted

FIRST, MIDDLE, LAST = 0, 0.5, 0.9  # ranks
DENIED = Granted(is_granted=False, retry_s=0.5)
GRANTED = Granted(is_granted=True)


def ask(rank=FIRST):
    return Ask('a', Quota(20, 20), 1, rank)


@pytest.fixture(name='quotas')
def gateway_quotas():
    quotas = AccountQuotas('f0')
    quotas.set_others({}, gateways=2, now_s=0)
    return quotas


# An account over its quota: each turn of a program in progress that was taken
# let all new programs ask again, a round trip each.
def test_grant_of_an_earlier_rank_does_not_end_a_denial(quotas):
    quotas.add_reply(ask(MIDDLE), DENIED, 0)
    quotas.add_reply(ask(FIRST), GRANTED, 0.1)
    assert quotas.admit(ask(LAST), 0.2) is Admission.DENIED
    quotas.add_reply(ask(LAST), GRANTED, 0.3)
    assert quotas.admit(ask(LAST), 0.4) is Admission.ASK


# Two questions under way: the later denial must not shorten the first.
def test_denial_of_a_later_rank_keeps_an_earlier_one(quotas):
    quotas.add_reply(ask(MIDDLE), DENIED, 0)
    quotas.add_reply(ask(LAST), DENIED, 0.1)
    assert quotas.admit(ask(MIDDLE), 0.2) is Admission.DENIED


# The stores stop: questions time out before their silence is noticed.
def test_questions_without_a_reply_are_taken_from_the_equal_part(quotas):
    quotas.take_equal_part(ask(), 0)
    assert quotas.admit(ask(), 0.5) is Admission.ASK
    assert quotas.take_equal_part(ask(), 0.5)


# A store ended its sharing of loads: two gateways had taken requests of an
# account without any demand left.
def test_demands_of_zero_are_dropped_once():
    demands = Demands(ttl_s=1.5)
    for name in ('f0', 'f1'):
        demands.report(name, {'a': 0}, 0)
    demands.drop_expired(2)
    assert demands.sums(2) == {}
