"""Tracks whether the platform is up, from the results of requests.

The functions are pure: the caller passes the time and the jitter. A response
that reports a conflict or a missing object shows that the platform is up.
"""

import enum
from typing import NamedTuple

OUTAGE_FAILURES = 3  # consecutive failures before an outage is assumed
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
JITTER_FRACTION = 0.5  # largest random reduction of the backoff
MAX_EXPONENT = 16


class Phase(enum.StrEnum):
    """The state of the platform as this instance sees it."""

    UP = 'up'
    SUSPECT = 'suspect'  # the last request failed
    DOWN = 'down'


class OutageState(NamedTuple):
    """The phase, the consecutive failures and when to retry."""

    phase: Phase = Phase.UP
    failures: int = 0
    since_s: float = 0
    retry_at_s: float = 0

    @property
    def is_up(self) -> bool:
        """Whether requests may be expected to succeed."""
        return self.phase is not Phase.DOWN


def after_success(state: OutageState, now_s: float) -> OutageState:
    """Returns the state after a response from the platform."""
    if state.phase is Phase.UP:
        return state
    return OutageState(since_s=now_s)


def after_failure(
    state: OutageState,
    now_s: float,
    jitter: float,
    retry_after_s: float | None = None,
) -> OutageState:
    """Returns the state after a request that got no response.

    Args:
        state: The state before the request.
        now_s: The current time.
        jitter: A random number from 0 to 1.
        retry_after_s: The wait that the platform asked for, None for none.
    """
    failures = state.failures + 1
    phase = phase_for(failures)
    wait_s = backoff_s(failures, jitter)
    return OutageState(
        phase=phase,
        failures=failures,
        since_s=state.since_s if phase is state.phase else now_s,
        retry_at_s=now_s + max(wait_s, retry_after_s or 0),
    )


def phase_for(failures: int) -> Phase:
    """Returns the phase after a number of consecutive failures."""
    if not failures:
        return Phase.UP
    return Phase.SUSPECT if failures < OUTAGE_FAILURES else Phase.DOWN


def backoff_s(failures: int, jitter: float) -> float:
    """Returns the wait before a retry: exponential backoff with jitter."""
    exponent = min(failures - 1, MAX_EXPONENT)
    longest_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * float(2**exponent))
    return longest_s * (1 - JITTER_FRACTION * jitter)


def retry_wait_s(state: OutageState, now_s: float) -> float:
    """Returns the seconds until the next retry."""
    return max(0, state.retry_at_s - now_s)
