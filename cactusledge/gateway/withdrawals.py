"""Remembers which versions of the endpoints' entries are over.

An entry is over once the platform has removed it, or once it says that its
endpoint is draining. That does not change any more: an endpoint that registers
again has a newer entry. So instances may tell each other in any order.
"""

from collections import OrderedDict
from collections.abc import Iterable

from cactusledge.records.withdrawal_messages import Withdrawal

MAX_KNOWN = 4096  # endpoints; the oldest are forgotten


class Withdrawals:
    """The newest withdrawn version of each endpoint's entry."""

    def __init__(self) -> None:
        """Starts empty."""
        self._known: OrderedDict[str, int] = OrderedDict()
        self._unreported: dict[str, Withdrawal] = {}

    def note(self, withdrawal: Withdrawal) -> None:
        """Adds a withdrawal seen at the platform, for the next report."""
        if self.add(withdrawal):
            self._unreported[withdrawal.endpoint_id] = withdrawal

    def add(self, withdrawal: Withdrawal) -> bool:
        """Adds a withdrawal; returns whether it is new."""
        endpoint_id, version = withdrawal
        if self.covers(endpoint_id, version):
            return False
        self._known[endpoint_id] = version
        self._known.move_to_end(endpoint_id)
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        return True

    def covers(self, endpoint_id: str, version: int) -> bool:
        """Returns whether an entry of this version is over."""
        return version <= self._known.get(endpoint_id, -1)

    def drain(self) -> list[Withdrawal]:
        """Returns and clears what was seen here since the last report."""
        unreported = list(self._unreported.values())
        self._unreported.clear()
        return unreported

    def requeue(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Queues withdrawals again whose report has failed."""
        for withdrawal in withdrawals:
            self._unreported.setdefault(withdrawal.endpoint_id, withdrawal)
