"""Limits retries to a fraction of the traffic."""

from cactusledge.routing.policy import PolicySettings


class RetryBudget:
    """Token bucket that first attempts fill and retries drain."""

    def __init__(self, settings: PolicySettings) -> None:
        """Initializes an empty budget."""
        self._settings = settings
        self._burst: float = 0
        self.level: float = 0

    def resize(self, slots: int) -> None:
        """Sizes the bucket for the sequences that the engines can batch."""
        burst = self._settings.retry_burst * slots
        self.level += max(0, burst - self._burst)
        self._burst = burst

    def deposit(self) -> None:
        """Counts a first attempt."""
        self.level = min(self._burst, self.level + self._settings.retry_ratio)

    def withdraw(self) -> bool:
        """Returns whether a retry may be sent, and counts it if so."""
        if self.level < 1:
            return False
        self.level -= 1
        return True
