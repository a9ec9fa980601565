"""Retries as a fraction of the traffic."""

from cactusledge.routing.policy import PolicySettings


class RetryBudget:
    """Token bucket that first tries fill and retries empty."""

    def __init__(self, settings: PolicySettings) -> None:
        """Starts with the full reserve."""
        self._ratio = settings.retry_ratio
        self._burst = float(settings.retry_burst)
        self.level = self._burst

    def deposit(self) -> None:
        """Counts a first try."""
        self.level = min(self._burst, self.level + self._ratio)

    def withdraw(self) -> bool:
        """Returns whether one more retry may be sent, and counts it."""
        if self.level < 1:
            return False
        self.level -= 1
        return True
