"""Decides which requests of client accounts a gateway takes; pure.

All gateways together keep to an account's quota. A request of an account whose
demand is well below it is taken at once, and others are granted by the stores.
Without a store in reach a gateway keeps to an equal part.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from cactusledge.gateway.decaying_rate import DecayingRate
from cactusledge.gateway.endpoint_limits import STORES_SILENT_S, Admission
from cactusledge.gateway.messages import Quota
from cactusledge.gateway.program_ranks import share_of_text
from cactusledge.records.gateway_messages import Granted
from cactusledge.records.quota_messages import HUNDREDTHS, AccountUse, AskQuota
from cactusledge.records.token_bucket import TokenBucket

DEMAND_AVERAGE_S = 2.0  # time constant of the demand
# A demand below this is taken without asking.
FREE_PART = 0.75  # of the rate
FREE_PER_S = 0.5  # besides, for small accounts
OTHERS_TTL_S = 0.5  # the others' demand may be many times larger by then
MIN_DEMAND = 2  # hundredths of a request a second; below, none is reported
MAX_ACCOUNTS = 4096  # the least recently used are forgotten
UNKNOWN_RETRY_S = 0.2  # without a denial or an equal part to wait for
RETRY_S = (
    0.05,
    0.5,
)  # shortest and longest; the rate and the demand may have changed by then


class Ask(NamedTuple):
    """A request of an account with a quota."""

    account: str
    quota: Quota
    version: int  # of the configuration with the quota
    rank: float  # 0 goes first, 1 last


class _Denial(NamedTuple):
    """What a store has denied for a while."""

    rank: float  # this one and later ones
    until_s: float


NOT_DENIED = _Denial(0, -math.inf)


class _Use:
    """An account's requests at this gateway."""

    def __init__(self) -> None:
        """Starts without any."""
        self.demand = DecayingRate(DEMAND_AVERAGE_S)
        self.taken = 0  # without asking, since the last report
        self.denial = NOT_DENIED
        self.others_per_s = math.inf  # demand at all others
        self.equal_part: TokenBucket | None = None  # while no store replies

    def denied_rank(self, now_s: float) -> float:
        """Returns the first rank that is denied now; above 1, none is."""
        return self.denial.rank if now_s < self.denial.until_s else math.inf

    def is_denied(self, rank: float, now_s: float) -> bool:
        """Returns whether a store has denied requests of this rank."""
        return rank >= self.denied_rank(now_s)


class AccountQuotas:
    """The requests of client accounts that this gateway takes."""

    def __init__(self, name: str = '') -> None:
        """Starts without any; `name` is the gateway's."""
        self._name = name
        self._uses: OrderedDict[str, _Use] = OrderedDict()
        self._gateways = 0  # that share the quotas; 0 if unknown
        self._replied_s = -math.inf  # when a store last replied
        self._others_s = -math.inf  # when the others' demand was received

    def admit(self, ask: Ask, now_s: float) -> Admission:
        """Counts a request to the demand, and decides on it."""
        use = self._use(ask.account)
        use.demand.add(now_s)
        if self._is_free(use, ask.quota, now_s):
            use.taken += 1
            return Admission.FREE
        is_silent = now_s - self._replied_s >= STORES_SILENT_S
        if is_silent and self._gateways:
            return Admission.EQUAL_PART
        is_denied = use.is_denied(ask.rank, now_s)
        return Admission.DENIED if is_denied else Admission.ASK

    def question(self, ask: Ask, now_s: float) -> AskQuota:
        """Returns what to ask a store."""
        return AskQuota(
            self._name,
            ask.account,
            *ask.quota,
            ask.version,
            self._use(ask.account).demand.per_s(now_s),
            ask.rank,
        )

    def add_reply(self, ask: Ask, reply: Granted, now_s: float) -> bool:
        """Adds a store's reply; returns whether the request is taken."""
        self._replied_s = now_s
        use = self._use(ask.account)
        use.equal_part = None
        if not reply.is_granted:
            first = min(ask.rank, use.denied_rank(now_s))
            use.denial = _Denial(first, now_s + reply.retry_s)
        elif ask.rank >= use.denial.rank:
            use.denial = NOT_DENIED
        return reply.is_granted

    def take_equal_part(self, ask: Ask, now_s: float) -> bool:
        """Takes a request without a store; returns whether it may."""
        if not self._gateways:
            return False
        use = self._use(ask.account)
        if use.equal_part is None:
            # Gateways start apart, so that together they begin at the rate.
            level = share_of_text(f'{self._name} {ask.account}')
            use.equal_part = TokenBucket(level, now_s)
        most = 1 + ask.quota.burst / self._gateways
        rate_per_s = ask.quota.rate_per_s / self._gateways
        use.equal_part.refill(rate_per_s, most, now_s)
        if not use.equal_part.take():
            return False
        use.taken += 1
        return True

    def wait_s(self, ask: Ask, now_s: float) -> float:
        """Returns when a denied request may be worth sending again."""
        use = self._use(ask.account)
        if use.is_denied(ask.rank, now_s):
            return use.denial.until_s - now_s
        if use.equal_part is None or not self._gateways:
            return UNKNOWN_RETRY_S
        rate_per_s = ask.quota.rate_per_s / self._gateways
        shortest_s, longest_s = RETRY_S
        missing = 1 - use.equal_part.level
        return min(max(missing / rate_per_s, shortest_s), longest_s)

    def drain_uses(self, now_s: float) -> dict[str, AccountUse]:
        """Returns what to report; counts what is taken from zero again."""
        uses = {}
        for account, use in self._uses.items():
            demand = round(use.demand.per_s(now_s) * HUNDREDTHS)
            if use.taken or demand >= MIN_DEMAND:
                uses[account] = AccountUse(demand, use.taken)
            use.taken = 0
        return uses

    def requeue(self, uses: Mapping[str, AccountUse]) -> None:
        """Adds what was taken to the next report, as this one failed."""
        for account, use in uses.items():
            self._use(account).taken += use.taken

    def set_others(
        self, others: Mapping[str, int], gateways: int, now_s: float
    ) -> None:
        """Sets the others' demand, by account, for those not to be asked for.

        Args:
            others: Demands in hundredths of a request a second.
            gateways: How many share the quotas; 0 if the store grants none.
            now_s: The time.
        """
        for account, use in self._uses.items():
            known = others.get(account)
            use.others_per_s = math.inf if known is None else known / HUNDREDTHS
        self._others_s = now_s
        if gateways:
            self._gateways = gateways
            self._replied_s = now_s

    def _is_free(self, use: _Use, quota: Quota, now_s: float) -> bool:
        if now_s - self._others_s >= OTHERS_TTL_S:
            return False
        total = use.demand.per_s(now_s) + use.others_per_s
        return total < FREE_PART * quota.rate_per_s + FREE_PER_S

    def _use(self, account: str) -> _Use:
        use = self._uses.setdefault(account, _Use())
        self._uses.move_to_end(account)
        if len(self._uses) > MAX_ACCOUNTS:
            self._uses.popitem(last=False)
        return use
