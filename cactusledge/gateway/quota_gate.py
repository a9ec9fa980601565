"""Holds the requests of client accounts to their quotas."""

import enum
import math
import random
from collections import OrderedDict

import structlog

from cactusledge.gateway.account_quotas import (
    MAX_ACCOUNTS,
    AccountQuotas,
    Ask,
)
from cactusledge.gateway.clock import now
from cactusledge.gateway.context import Call
from cactusledge.gateway.endpoint_limits import Admission
from cactusledge.gateway.grants import GrantSource
from cactusledge.gateway.messages import Quota
from cactusledge.gateway.program_ranks import ProgramRanks
from cactusledge.records.quota_messages import AccountUse
from cactusledge.telemetry.metrics import Metrics

LOG_PAUSE_S = 10.0  # between two lines about one account
SPREAD = 0.25  # of a wait, so that callers do not return together

log = structlog.get_logger('gateway')


class Decision(enum.Enum):
    """How a request of an account with a quota was decided."""

    FREE = 'free'  # the demand is low
    GRANTED = 'granted'  # by a store
    EQUAL_PART = 'equal_part'  # taken from it, as no store replied
    DENIED = 'denied'


class _Refusals:
    """The refused requests of an account since its last log line."""

    def __init__(self) -> None:
        """Starts without any."""
        self.count = 0
        self.logged_s = -math.inf


class AccountQuotaGate:
    """Implements `grants.QuotaGate`."""

    def __init__(
        self, name: str, source: GrantSource, metrics: Metrics
    ) -> None:
        """Starts without requests; `name` is the gateway's."""
        self._quotas = AccountQuotas(name)
        self._source = source
        self._metrics = metrics
        self._ranks = ProgramRanks()
        self._refusals: OrderedDict[str, _Refusals] = (
            OrderedDict()
        )  # by account

    async def wait_s(self, call: Call) -> float:
        """Returns how long the caller has to wait, 0 if the call is taken."""
        quota = call.account.quota if call.account else None
        if call.account is None or quota is None or quota.rate_per_s <= 0:
            return 0
        rank = self._ranks.rank(call.info)
        version = call.table.cfg.version
        ask = Ask(call.account.name, quota, version, rank)
        decision = await self._decide(ask)
        self._metrics.add('gateway_quota_total', decision=decision.value)
        if decision is not Decision.DENIED:
            self._ranks.note_taken(call.info)
            return 0
        self._log(ask.account, quota, now())
        wait_s = self._quotas.wait_s(ask, now())
        return wait_s * random.uniform(1, 1 + SPREAD)

    def drain_uses(self) -> dict[str, AccountUse]:
        """Returns what accounts have sent since the last call."""
        return self._quotas.drain_uses(now())

    def requeue_uses(self, uses: dict[str, AccountUse]) -> None:
        """Adds what accounts have sent to the next report."""
        self._quotas.requeue(uses)

    def set_others(self, others: dict[str, int], gateways: int) -> None:
        """Sets the demand at all other gateways, and their number."""
        self._quotas.set_others(others, gateways, now())

    async def _decide(self, ask: Ask) -> Decision:
        admission = self._quotas.admit(ask, now())
        if admission is Admission.FREE:
            return Decision.FREE
        if admission is Admission.DENIED:
            return Decision.DENIED
        if admission is Admission.ASK:
            question = self._quotas.question(ask, now())
            reply = await self._source.ask(question)
            if reply is not None:
                is_granted = self._quotas.add_reply(ask, reply, now())
                return Decision.GRANTED if is_granted else Decision.DENIED
        is_taken = self._quotas.take_equal_part(ask, now())
        return Decision.EQUAL_PART if is_taken else Decision.DENIED

    def _log(self, account: str, quota: Quota, now_s: float) -> None:
        refusals = self._refusals.setdefault(account, _Refusals())
        self._refusals.move_to_end(account)
        if len(self._refusals) > MAX_ACCOUNTS:
            self._refusals.popitem(last=False)
        refusals.count += 1
        if now_s - refusals.logged_s < LOG_PAUSE_S:
            return
        log.info(
            'gateway: account over its quota',
            account=account,
            refused=refusals.count,
            **quota._asdict(),
        )
        refusals.count = 0
        refusals.logged_s = now_s
