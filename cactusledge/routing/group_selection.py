"""Ranks the engine groups for the next call of a program."""

import zlib
from collections.abc import Sequence
from typing import NamedTuple

from cactusledge.routing.types import GroupKey, GroupSummary

SPILLOVER_CANDIDATES = 2  # groups besides the home and the local ones
REMOTE_COST_S = 0.3  # of a group in another data centre
GROUP_LOAD_COST_S = 1.0  # of a full batch compared with an empty one
QUEUE_COST_S = 3.0  # of one queued job per slot
TYPICAL_CALL_S = 4.0  # typical latency, longer in a slow group
NORMAL_SLOWNESS = 1.5  # highest ratio between healthy groups


class CallOrigin(NamedTuple):
    """Program and data centre of the call that needs a group."""

    program_id: str
    data_centre: str
    home: GroupKey | None = None  # ran the previous call of the program
    recompute_s: float = 0  # prefill of the history outside the home group


def rendezvous_weight(member: str, key: str) -> int:
    """Returns the rendezvous hash; the member with the highest owns the key."""
    return zlib.crc32(f'{key}/{member}'.encode())


def rank_groups(
    origin: CallOrigin, summaries: Sequence[GroupSummary]
) -> list[GroupKey]:
    """Returns the candidate groups, the best one first.

    The candidates are the home group, the local groups and two others that
    rendezvous hashing selects for the program.
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
