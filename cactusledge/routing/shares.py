"""Fair sharing of the engines among the accounts."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from cactusledge.routing.policy import PolicySettings

SHARE_TOLERANCE = (
    1.25  # of the fair share; above it, an account is served later
)
MIN_USED_S = 0.01  # accounts with less use are not active


class FairShares:
    """Decayed engine use per account, compared with its fair share."""

    def __init__(
        self,
        settings: PolicySettings,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Initializes empty usage; accounts without a weight have weight 1."""
        self._half_life_s = settings.share_half_life_s
        self._weights = weights or {}
        self._used_s: dict[str, float] = {}
        self._decayed_s: float = 0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replaces the weights; recorded use is kept."""
        self._weights = weights

    def charge(self, account: str, used_s: float) -> None:
        """Adds engine time to an account's use."""
        self._used_s[account] = self._used_s.get(account, 0) + used_s

    def decay(self, now: float) -> None:
        """Halves recorded use for each half-life since the last call."""
        factor = 0.5 ** ((now - self._decayed_s) / self._half_life_s)
        self._decayed_s = now
        self._used_s = {
            account: used_s * factor
            for account, used_s in self._used_s.items()
            if used_s * factor > MIN_USED_S
        }

    def over_share(self, waiting: AbstractSet[str]) -> frozenset[str]:
        """Returns the accounts that used more than their fair share.

        Args:
            waiting: Accounts with queued jobs, besides those with use.
        """
        used_total = sum(self._used_s.values())
        active = waiting | self._used_s.keys()
        weight_total = sum(self._weight(account) for account in active)
        return frozenset(
            account
            for account, used_s in self._used_s.items()
            if used_s * weight_total
            > SHARE_TOLERANCE * self._weight(account) * used_total
        )

    def _weight(self, account: str) -> float:
        return self._weights.get(account, 1)
