"""Limits of the platform stand-in."""

from typing import NamedTuple

from cactusledge.objects.budget import Rate, RequestBudget

OBJECT_BYTES = 1024 * 1024


class Limits(NamedTuple):
    """What the stand-in takes and keeps."""

    object_bytes: int = OBJECT_BYTES
    history_events: int = 1000
    reads_per_s: float = 0  # 0 for no limit
    writes_per_s: float = 0  # 0 for no limit
    bookmark_s: float = 1.0
    poll_s: float = 0.05  # how soon a hanging request sees a changed switch


def request_budget(per_s: float) -> RequestBudget | None:
    """Returns a budget with a burst of one second, None for no limit."""
    return RequestBudget(Rate(per_s, per_s)) if per_s else None
