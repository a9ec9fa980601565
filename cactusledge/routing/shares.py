"""Shares of the engines among the accounts."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from cactusledge.routing.policy import PolicySettings

SHARE_TOLERANCE = 1.25  # of the fair share, before an account stands back
MIN_USED_S = 0.01  # seconds of use under which an account is not active


class FairShares:
    """Decayed use of the engines, per account, against the fair share."""

    def __init__(
        self,
        settings: PolicySettings,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Starts with no use; accounts without a weight have weight 1."""
        self._half_life_s = settings.share_half_life_s
        self._weights = weights or {}
        self._used_s: dict[str, float] = {}
        self._decayed_s: float = 0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Takes other weights; past use stays."""
        self._weights = weights

    def charge(self, account: str, used_s: float) -> None:
        """Adds engine time to an account's use."""
        self._used_s[account] = self._used_s.get(account, 0) + used_s

    def decay(self, now: float) -> None:
        """Lets past use lose half of its weight in each half-life."""
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
            waiting: Accounts that want engines, beside those that used them.
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
