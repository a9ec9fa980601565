"""For how long the platform has answered any of the record stores.

An instance that could not reach the platform cannot tell whether it was away,
or only out of reach. What stores see of it shows the difference.
"""

FRESH_S = 1.5  # for which another store's word counts


class PlatformUptime:
    """What this store and the others see; pure."""

    def __init__(self) -> None:
        """Starts before the platform has answered."""
        self._since_s: float | None = None
        self._others: dict[str, tuple[float, float]] = {}

    def note(self, since_s: float | None) -> None:
        """Takes note since when the platform answers, None if it does not."""
        self._since_s = since_s

    def share(self, store: str, up_s: float, now_s: float) -> None:
        """Takes note of another store's word; 0 if it gets no answers."""
        self._others[store] = (up_s, now_s)

    def own_s(self, now_s: float) -> float:
        """Returns for how long it has answered this store."""
        return 0 if self._since_s is None else now_s - self._since_s

    def longest_s(self, now_s: float) -> float:
        """Returns for how long it has answered a store without an outage."""
        told = [
            up_s
            for up_s, heard_s in self._others.values()
            if now_s - heard_s < FRESH_S
        ]
        return max(self.own_s(now_s), *told, 0)
