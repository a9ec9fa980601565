"""What a turn needs from the record stores; pure functions.

A budget and a kept history are independent of each other: a route may keep no
history while the caller's program has a budget, and the reverse.
"""

from typing import NamedTuple

from cactusledge.gateway.messages import CallInfo, Route
from cactusledge.records.entries import RETENTION_S


class TurnNeeds(NamedTuple):
    """The parts of a turn that involve the record stores."""

    has_budget: bool  # its tokens are reserved before it is sent
    has_history: bool  # it continues recorded turns, and is recorded itself

    @property
    def involves_stores(self) -> bool:
        """Whether the turn cannot be sent while the stores are unavailable."""
        return self.has_budget or self.has_history


def needs_of(route: Route, info: CallInfo) -> TurnNeeds:
    """Returns what a turn on a route needs."""
    return TurnNeeds(
        has_budget=info.budget is not None, has_history=route.keeps_turns
    )


def retention_of(route: Route) -> float:
    """Returns the seconds for which a turn on a route may be continued."""
    return route.retention_s if route.retention_s > 0 else RETENTION_S


def budget_id_of(info: CallInfo) -> str:
    """Returns the program that pays for a turn's tokens.

    The budget of a request that names no program covers that request alone.
    """
    return info.program_id or info.request_id
