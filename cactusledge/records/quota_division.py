"""Divides the quotas of client accounts over the stores; pure.

Each store grants requests from its part of a quota's rate and burst. Gateways
that take requests without asking report them, and they are debited.
"""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from typing import NamedTuple

from cactusledge.records.demands import Demands
from cactusledge.records.gateway_messages import Granted
from cactusledge.records.quota_messages import HUNDREDTHS, AccountUse, AskQuota
from cactusledge.records.store_parts import StoreParts
from cactusledge.records.token_bucket import TokenBucket

REPORT_TTL_S = 1.5  # since a gateway last reported
# Of a rate: the demand that all stores together are taken to have besides what
# is reported, in equal parts. So stores that do not know of each other's demand
# start with equal parts, and chance moves the parts of small accounts little.
EVEN_PART = 0.35
SPARE = 8.0  # requests that a burst may have more, of all stores together
# A demand below this may owe a little at one store, as others have it left.
LOW_PART = 0.95  # of the rate
LOW_PER_S = 1.0  # besides, for small accounts
LOW_DEBT_S = 0.5  # of the part of the rate, besides the bucket's size
MOST_DEBT_S = 5.0  # of the part of the rate
RETRY_S = (
    0.05,
    0.5,
)  # shortest and longest; the rate and the demand may have changed by then
MAX_ACCOUNTS = 4096  # the least recently used are forgotten


class _Allowance(NamedTuple):
    """What a store may grant of a quota."""

    rate_per_s: float
    burst: float
    version: int  # of the configuration with the quota
    bucket: TokenBucket


class _Part(NamedTuple):
    """A store's part of a quota at a time."""

    rate_per_s: float
    most: float  # level of the bucket


class QuotaDivision:
    """A store's part of the quotas of client accounts."""

    def __init__(self, now_s: float) -> None:
        """Starts without quotas; buckets fill from now on."""
        self._started_s = now_s
        self._parts = StoreParts()
        self._local = Demands(REPORT_TTL_S)  # of gateways, in hundredths
        self._allowances: OrderedDict[str, _Allowance] = OrderedDict()

    def set_group(self, names: Collection[str]) -> None:
        """Sets the other stores of the group."""
        self._parts.set_group(names)

    def report(
        self, gateway: str, uses: Mapping[str, AccountUse], now_s: float
    ) -> dict[str, int]:
        """Stores what a gateway sends.

        Returns the demand at all others in hundredths, by account; accounts
        for which the gateway has to ask are left out.
        """
        demands = {account: use.demand for account, use in uses.items()}
        self._local.report(gateway, demands, now_s)
        others = {}
        for account, use in uses.items():
            self._debit(account, use.taken, now_s)
            if self._is_free(account, now_s):
                others[account] = round(self._others(gateway, account, now_s))
        return others

    def share(
        self, store: str, demands: Mapping[str, int], now_s: float
    ) -> None:
        """Stores the demands at another store, in hundredths."""
        self._parts.share(store, demands, self._local.sums(now_s), now_s)

    def local_demands(self, now_s: float) -> dict[str, int]:
        """Returns the demand of this store's gateways in hundredths."""
        sums = self._local.sums(now_s)
        return {account: round(demand) for account, demand in sums.items()}

    def grant(self, ask: AskQuota, now_s: float) -> Granted:
        """Decides whether a gateway may take a request."""
        allowance = self._allowance(ask, now_s)
        others = self._local.of_others(ask.name, ask.account, now_s)
        here = ask.demand_per_s * HUNDREDTHS + others
        part = self._part(ask.account, allowance, here, now_s)
        allowance.bucket.refill(*part, now_s)
        demand = here + self._parts.elsewhere(ask.account)
        least = self._least(ask, allowance, part, demand)
        if allowance.bucket.take(least):
            return Granted(is_granted=True)
        missing = least - allowance.bucket.level
        shortest_s, longest_s = RETRY_S
        wait_s = min(max(missing / part.rate_per_s, shortest_s), longest_s)
        return Granted(is_granted=False, retry_s=wait_s)

    def _allowance(self, ask: AskQuota, now_s: float) -> _Allowance:
        """Returns what may be granted; the newest configuration counts."""
        known = self._allowances.get(ask.account)
        if known is None or ask.version > known.version:
            # One request at the store's start; filled for the time since.
            bucket = known.bucket if known else TokenBucket(1, self._started_s)
            known = _Allowance(ask.rate_per_s, ask.burst, ask.version, bucket)
            self._allowances[ask.account] = known
            if len(self._allowances) > MAX_ACCOUNTS:
                self._allowances.popitem(last=False)
        self._allowances.move_to_end(ask.account)
        return known

    def _debit(self, account: str, taken: int, now_s: float) -> None:
        allowance = self._allowances.get(account)
        if allowance is None or not taken:
            return
        part = self._top_up(account, allowance, now_s)
        allowance.bucket.level = max(
            allowance.bucket.level - taken, -MOST_DEBT_S * part.rate_per_s
        )

    def _is_free(self, account: str, now_s: float) -> bool:
        """Returns whether gateways need not ask while the demand is low."""
        allowance = self._allowances.get(account)
        if allowance is None or not self._parts.is_whole:
            return False
        self._top_up(account, allowance, now_s)
        return allowance.bucket.level > 0

    def _least(
        self, ask: AskQuota, allowance: _Allowance, part: _Part, demand: float
    ) -> float:
        """Returns the level that a request needs.

        The higher the demand at all stores, the more its rank counts.
        """
        rate_per_s = allowance.rate_per_s
        low_per_s = LOW_PART * rate_per_s + LOW_PER_S
        over = (demand / HUNDREDTHS - low_per_s) / rate_per_s
        if over < 0 and self._parts.is_whole:
            return 1 - part.most - LOW_DEBT_S * part.rate_per_s
        ranked = part.rate_per_s / rate_per_s * allowance.burst
        return 1 + ranked * min(max(over, 0), 1) * ask.rank

    def _others(self, gateway: str, account: str, now_s: float) -> float:
        local = self._local.of_others(gateway, account, now_s)
        return local + self._parts.elsewhere(account)

    def _top_up(
        self, account: str, allowance: _Allowance, now_s: float
    ) -> _Part:
        """Fills a bucket; returns this store's part.

        A higher level stays, as it would be missing when demand returns; it is
        cut when a request is asked for.
        """
        here = self._local.of_all(account, now_s)
        part = self._part(account, allowance, here, now_s)
        allowance.bucket.top_up(*part, now_s)
        return part

    def _part(
        self, account: str, allowance: _Allowance, here: float, now_s: float
    ) -> _Part:
        even = EVEN_PART * allowance.rate_per_s * HUNDREDTHS
        part = self._parts.part(account, here, even, now_s)
        burst = allowance.burst + SPARE
        return _Part(part * allowance.rate_per_s, 1 + part * burst)
