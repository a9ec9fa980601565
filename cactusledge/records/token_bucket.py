"""Counts what a rate allows; pure."""


class TokenBucket:
    """The requests of a rate that may be taken."""

    def __init__(self, level: float, now_s: float) -> None:
        """Starts at a level, in requests."""
        self.level = level
        self._refilled_s = now_s

    def refill(self, rate_per_s: float, most: float, now_s: float) -> None:
        """Adds what the rate allows since the last call; cuts to `most`."""
        self.top_up(rate_per_s, most, now_s)
        self.level = min(self.level, most)

    def top_up(self, rate_per_s: float, most: float, now_s: float) -> None:
        """Adds what the rate allows, up to `most`; keeps a higher level."""
        added = rate_per_s * max(0, now_s - self._refilled_s)
        self._refilled_s = now_s
        self.level = max(self.level, min(self.level + added, most))

    def take(self, least: float = 1) -> bool:
        """Takes a request if the level is at least `least`."""
        if self.level < least:
            return False
        self.level -= 1
        return True
