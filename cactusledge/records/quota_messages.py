"""Messages about the quotas of client accounts."""

from typing import NamedTuple

from cactusledge.records.entries import Message

HUNDREDTHS = 100  # of a request a second: the unit of demands in messages


class AccountUse(NamedTuple):
    """What a gateway sends for a client account."""

    demand: int  # without the quota, in hundredths of a request a second
    taken: int  # requests, without asking, since the last report


class AskQuota(Message, frozen=True):
    """Asks to take one request of an account; the reply is `Granted`."""

    name: str  # of the gateway
    account: str
    rate_per_s: float  # the quota, of all instances together
    burst: float
    version: int  # of the configuration with the quota
    demand_per_s: float  # requests that the gateway would take of the account
    rank: float  # 0 goes first, 1 last
