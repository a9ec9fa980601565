"""What limits of endpoints and quotas of client accounts allow."""

from typing import TYPE_CHECKING, Protocol

from cactusledge.records.gateway_messages import AskGrant, Granted
from cactusledge.records.quota_messages import AccountUse, AskQuota

if TYPE_CHECKING:
    from cactusledge.gateway.context import Call


class GrantSource(Protocol):
    """Asks a store for requests that a limit or a quota may not allow."""

    async def ask(self, question: AskGrant | AskQuota) -> Granted | None:
        """Returns the store's reply, None without one in time."""


class NoGrants:
    """The source of a gateway without stores."""

    async def ask(self, question: AskGrant | AskQuota) -> Granted | None:
        """Gets no reply."""


class QuotaGate(Protocol):
    """Holds the requests of client accounts to their quotas."""

    async def wait_s(self, call: 'Call') -> float:
        """Returns how long the caller has to wait, 0 if the call is taken."""

    def drain_uses(self) -> dict[str, AccountUse]:
        """Returns what accounts have sent since the last call."""

    def requeue_uses(self, uses: dict[str, AccountUse]) -> None:
        """Adds what accounts have sent to the next report."""

    def set_others(self, others: dict[str, int], gateways: int) -> None:
        """Sets the demand at all other gateways, and their number."""


class NoQuotas:
    """The gate of a gateway that counts nothing."""

    async def wait_s(self, call: 'Call') -> float:
        """Takes every call."""
        return 0

    def drain_uses(self) -> dict[str, AccountUse]:
        """Has nothing to report."""
        return {}

    def requeue_uses(self, uses: dict[str, AccountUse]) -> None:
        """Ignores what has not been reported."""

    def set_others(self, others: dict[str, int], gateways: int) -> None:
        """Ignores the demand at other gateways."""
