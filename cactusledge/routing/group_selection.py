"""Which engine group a program's next call should ask first."""

import zlib
from collections.abc import Sequence
from typing import NamedTuple

from cactusledge.routing.types import GroupKey, GroupSummary

SPILLOVER_CANDIDATES = 2  # groups beside the local and the home group
REMOTE_COST_S = 0.3  # price of another data centre
GROUP_LOAD_COST_S = 1.0  # price of a full batch against an empty one
QUEUE_COST_S = 3.0  # price of one queued job per slot
TYPICAL_CALL_S = 4.0  # of a usual call, which a slow group makes longer
NORMAL_SLOWNESS = 1.5  # between groups that are not at fault


class CallOrigin(NamedTuple):
    """Whose call looks for a group."""

    program_id: str
    data_centre: str
    home: GroupKey | None = None  # had the program's previous call
    recompute_s: float = 0  # prefill of the history, elsewhere than at home


def rendezvous_weight(member: str, key: str) -> int:
    """Returns the weight of a member for a key; the highest one owns it."""
    return zlib.crc32(f'{key}/{member}'.encode())


def rank_groups(
    origin: CallOrigin, summaries: Sequence[GroupSummary]
) -> list[GroupKey]:
    """Returns the groups to ask, the best first.

    Compares the home group, the local groups, and two others that rendezvous
    hashing of the program picks.
    """
    usable = [summary for summary in summaries if summary.slots]
    preferred = [
        summary for summary in usable if _is_preferred(origin, summary.key)
    ]
    others = [summary for summary in usable if summary not in preferred]
    others.sort(
        key=lambda summary: rendezvous_weight(
            str(summary.key), origin.program_id
        ),
        reverse=True,
    )
    candidates = preferred + others[:SPILLOVER_CANDIDATES]
    min_slowness = min((summary.slowness for summary in candidates), default=1)
    candidates.sort(key=lambda summary: _cost_s(origin, summary, min_slowness))
    return [summary.key for summary in candidates]


def _is_preferred(origin: CallOrigin, key: GroupKey) -> bool:
    return key == origin.home or key.data_centre == origin.data_centre


def _cost_s(
    origin: CallOrigin, summary: GroupSummary, min_slowness: float
) -> float:
    load = (summary.running + summary.waiting) / summary.slots
    cost_s = GROUP_LOAD_COST_S * min(1, load) + QUEUE_COST_S * max(0, load - 1)
    slowness = summary.slowness / min_slowness
    cost_s *= slowness
    cost_s += TYPICAL_CALL_S * max(0, slowness - NORMAL_SLOWNESS)
    if origin.home is None:
        cost_s += summary.wait_s
    elif origin.home != summary.key:
        cost_s += origin.recompute_s + GROUP_LOAD_COST_S
    if origin.data_centre != summary.key.data_centre:
        cost_s += REMOTE_COST_S
    return cost_s
