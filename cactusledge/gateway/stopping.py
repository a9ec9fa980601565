"""The states of a gateway's stop and what holds in each; pure.

All times are on the event loop's clock.
"""

import enum
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

READINESS_PROPAGATION_S = 2.6  # for the balancer to see that readiness is lost
STOP_MARGIN_S = 0.6  # left of the grace period before SIGKILL
TIMEOUT_SLACK_S = 0.05  # for a request that times out at the end to be answered


class StopState(enum.StrEnum):
    """How far a stop has got."""

    SERVING = 'serving'
    ANNOUNCING = 'announcing'  # readiness is withdrawn, callers still come
    CLOSING = 'closing'  # the balancer has noticed
    ENDED = 'ended'


class Need(NamedTuple):
    """How long a request may take."""

    until_s: float  # its own time limit
    likely_until_s: float  # by what its route has lately needed


def admit_all(need: Need, limit_s: float) -> bool:
    """Admits every request."""
    return True


def admit_likely(need: Need, limit_s: float) -> bool:
    """Admits a request that ends in time, as far as its route shows."""
    return min(need) <= limit_s


def admit_certain(need: Need, limit_s: float) -> bool:
    """Admits a request that ends in time by its own time limit.

    What its route has lately needed is no proof: a request that takes longer
    would be cut, while its caller can still use another instance.
    """
    return need.until_s <= limit_s


def admit_none(need: Need, limit_s: float) -> bool:
    """Admits no request."""
    return False


class Rules(NamedTuple):
    """What holds in a state."""

    accepts_connections: bool
    closes_connections: bool  # after each response, and idle ones
    is_ready: bool  # told to the balancer
    takes_forwarded: bool  # told to other gateways
    admits: Callable[[Need, float], bool]


RULES: Mapping[StopState, Rules] = MappingProxyType({
    StopState.SERVING: Rules(
        accepts_connections=True,
        closes_connections=False,
        is_ready=True,
        takes_forwarded=True,
        admits=admit_all,
    ),
    StopState.ANNOUNCING: Rules(
        accepts_connections=True,
        closes_connections=False,
        is_ready=False,
        takes_forwarded=False,
        admits=admit_likely,
    ),
    StopState.CLOSING: Rules(
        accepts_connections=True,
        closes_connections=True,
        is_ready=False,
        takes_forwarded=False,
        admits=admit_certain,
    ),
    StopState.ENDED: Rules(
        accepts_connections=False,
        closes_connections=True,
        is_ready=False,
        takes_forwarded=False,
        admits=admit_none,
    ),
})


class Stopping:
    """The stop of a gateway."""

    def __init__(self) -> None:
        """Starts before SIGTERM."""
        self.began_s = math.inf
        self.closing_s = math.inf  # when the balancer has noticed
        self.limit_s = math.inf  # by which all requests must have ended
        self._is_ended = False
        self._latest_s = -math.inf  # the last time limit of those admitted

    def begin(self, now_s: float, grace_s: float) -> bool:
        """Begins the stop; a second signal changes nothing.

        Returns whether it had not begun.
        """
        if math.isfinite(self.began_s):
            return False
        self.began_s = now_s
        self.limit_s = now_s + max(0, grace_s - STOP_MARGIN_S)
        self.closing_s = min(now_s + READINESS_PROPAGATION_S, self.limit_s)
        return True

    def end(self) -> None:
        """Ends the stop: no request is admitted any more."""
        self._is_ended = True

    def state(self, now_s: float) -> StopState:
        """Returns the state at a time."""
        if self._is_ended:
            return StopState.ENDED
        if now_s < self.began_s:
            return StopState.SERVING
        if now_s < self.closing_s:
            return StopState.ANNOUNCING
        return StopState.CLOSING

    def rules(self, now_s: float) -> Rules:
        """Returns what holds at a time."""
        return RULES[self.state(now_s)]

    def admits(self, need: Need, now_s: float) -> bool:
        """Returns whether a complete request is served, or else refused."""
        is_admitted = self.rules(now_s).admits(need, self.limit_s)
        if is_admitted:
            self.wait_until(need.until_s)
        return is_admitted

    def wait_until(self, until_s: float) -> None:
        """Lets the stop wait until a time, if something is in progress."""
        self._latest_s = max(self._latest_s, until_s)

    def is_over(self, now_s: float, *, is_busy: bool) -> bool:
        """Returns whether the stop ends now."""
        if self.state(now_s) is not StopState.CLOSING:
            return self._is_ended
        return not is_busy or now_s >= self.ends_by_s

    @property
    def ends_by_s(self) -> float:
        """The latest end of the stop."""
        latest_s = max(self.closing_s, self._latest_s)
        return min(latest_s, self.limit_s) + TIMEOUT_SLACK_S

    def since_s(self, at_s: float) -> float | None:
        """Returns the seconds since SIGTERM, rounded; None before it."""
        return round(at_s - self.began_s, 3) if at_s >= self.began_s else None
