"""Which engine group a program's next call should ask first."""

import zlib
from collections.abc import Sequence
from typing import NamedTuple

from cactusledge.routing.types import GroupKey, GroupSummary

SPILL_CHOICES = 2  # groups beside the local and the home group
DISTANCE_S = 0.3  # price of another data centre
LOAD_S = 1.0  # price of a full batch against an empty one
QUEUE_S = 3.0  # price of one queued job per slot
CALL_S = 4.0  # of a usual call, which a slow group makes longer
USUAL_SLOWNESS = 1.5  # between groups that are not at fault


class Asker(NamedTuple):
    """Whose call looks for a group."""

    program_id: str
    data_centre: str
    home: GroupKey | None = None  # had the program's previous call
    recompute_s: float = 0  # prefill of the history, elsewhere than at home


def rendezvous_weight(member: str, key: str) -> int:
    """Returns the weight of a member for a key; the highest one owns it."""
    return zlib.crc32(f'{key}/{member}'.encode())


def ranked(asker: Asker, summaries: Sequence[GroupSummary]) -> list[GroupKey]:
    """Returns the groups to ask, the best first.

    Compares the home group, the local groups, and two others that rendezvous
    hashing of the program picks.
    """
    usable = [summary for summary in summaries if summary.slots]
    near = [summary for summary in usable if _is_near(asker, summary.key)]
    others = [summary for summary in usable if summary not in near]
    others.sort(
        key=lambda summary: rendezvous_weight(
            str(summary.key), asker.program_id
        ),
        reverse=True,
    )
    candidates = near + others[:SPILL_CHOICES]
    fastest = min((summary.slowness for summary in candidates), default=1)
    candidates.sort(key=lambda summary: _cost_s(asker, summary, fastest))
    return [summary.key for summary in candidates]


def _is_near(asker: Asker, key: GroupKey) -> bool:
    return key == asker.home or key.data_centre == asker.data_centre


def _cost_s(asker: Asker, summary: GroupSummary, fastest: float) -> float:
    load = (summary.running + summary.waiting) / summary.slots
    cost_s = LOAD_S * min(1, load) + QUEUE_S * max(0, load - 1)
    slowness = summary.slowness / fastest
    cost_s *= slowness
    cost_s += CALL_S * max(0, slowness - USUAL_SLOWNESS)
    if asker.home is None:
        cost_s += summary.wait_s
    elif asker.home != summary.key:
        cost_s += asker.recompute_s + LOAD_S
    if asker.data_centre != summary.key.data_centre:
        cost_s += DISTANCE_S
    return cost_s
