"""Withdrawals of endpoints' entries that a store has seen or was told of.

Soft state: it spares callers a request to an endpoint that leaves, and is lost
when the process ends.
"""

from collections import OrderedDict
from collections.abc import Iterable

from cactusledge.records.withdrawal_messages import Withdrawal

REPORT_S = 4.0  # for which each message names a withdrawal
MAX_KNOWN = 4096  # the oldest are forgotten


class RecentWithdrawals:
    """The withdrawals by when this store first knew of them."""

    def __init__(self) -> None:
        """Starts empty."""
        self._first_known_s: OrderedDict[Withdrawal, float] = OrderedDict()

    def add(self, withdrawals: Iterable[Withdrawal], now_s: float) -> None:
        """Adds withdrawals; those that are known stay as they are."""
        for withdrawal in withdrawals:
            self._first_known_s.setdefault(withdrawal, now_s)
        while len(self._first_known_s) > MAX_KNOWN:
            self._first_known_s.popitem(last=False)

    def news(self, now_s: float, silent_s: float = 0) -> list[Withdrawal]:
        """Returns what an instance may not know yet.

        Args:
            now_s: The current time.
            silent_s: For how long the instance has got no message.
        """
        since_s = now_s - REPORT_S - silent_s
        fresh = []
        for withdrawal, known_s in reversed(self._first_known_s.items()):
            if known_s <= since_s:
                break
            fresh.append(withdrawal)
        return fresh
