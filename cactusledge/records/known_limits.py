"""The rate limits that endpoints have named in their answers; pure.

A limit belongs to one lifetime of an endpoint and holds for as long as its
answers name it. What was seen last counts, whoever saw it: observations travel
with their age, so that the clocks of instances need not agree.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cactusledge.records.gateway_messages import NamedLimit

MAX_KNOWN = 1024  # endpoints; the oldest are forgotten
MIN_RATE_PER_S = 0.2  # so that an endpoint can say that its limit has ended
RETURN_S = 4.0  # in which an endpoint's traffic returns after its limit
RETURN_GROWTH = 2.0  # of its rate, each second
ENDED_REPORT_S = 2.0  # how long the end of a limit is reported
FORGET_S = 600.0  # without an answer that names it

LifetimeKey = tuple[str, int]  # id and start of an endpoint


class KnownLimit(NamedTuple):
    """What was last seen of an endpoint's limit."""

    born_ms: int  # start of the endpoint's lifetime, Unix milliseconds
    per_s: float  # requests a second, of all instances together
    seen_s: float  # when it was last named, or its end was first seen
    is_ended: bool

    def rate_per_s(self, now_s: float) -> float | None:
        """Returns the rate in force, None if there is no limit any more.

        The rate grows for a while after the end of a limit.
        """
        rate = max(self.per_s, MIN_RATE_PER_S)
        age_s = now_s - self.seen_s
        if not self.is_ended:
            return rate if age_s < FORGET_S else None
        if age_s >= RETURN_S:
            return None
        return rate * math.pow(RETURN_GROWTH, max(0, age_s))


class KnownLimits:
    """The last known limit of each endpoint, by its id."""

    def __init__(self) -> None:
        """Starts empty."""
        self._known: OrderedDict[str, KnownLimit] = OrderedDict()

    def add(self, seen: NamedLimit, now_s: float) -> bool:
        """Adds an observation; returns whether it changes the limit."""
        known = self._known.get(seen.endpoint_id)
        limit = KnownLimit(
            seen.born_ms, seen.per_s, now_s - seen.age_s, seen.is_ended
        )
        if known is not None and is_older(limit, known):
            return False
        if limit.is_ended:
            limit = ending(limit, known)
        self._known[seen.endpoint_id] = limit
        self._known.move_to_end(seen.endpoint_id)
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        return known is None or (
            (known.born_ms, known.per_s, known.is_ended)
            != (limit.born_ms, limit.per_s, limit.is_ended)
        )

    def find(self, endpoint_id: str, born_ms: int) -> KnownLimit | None:
        """Returns what is known of a lifetime of an endpoint."""
        known = self._known.get(endpoint_id)
        return known if known and known.born_ms == born_ms else None

    def rate_per_s(
        self, endpoint_id: str, born_ms: int, now_s: float
    ) -> float | None:
        """Returns the rate in force for a lifetime, None without a limit."""
        known = self.find(endpoint_id, born_ms)
        return known.rate_per_s(now_s) if known else None

    def to_report(self, now_s: float) -> list[NamedLimit]:
        """Returns what others may not know yet, with its age."""
        return [
            NamedLimit(
                endpoint_id,
                known.born_ms,
                known.per_s,
                max(0, now_s - known.seen_s),
                known.is_ended,
            )
            for endpoint_id, known in self._known.items()
            if is_worth_reporting(known, now_s)
        ]

    def add_reported(
        self, reported: Iterable[NamedLimit], now_s: float
    ) -> list[NamedLimit]:
        """Adds what others have seen; returns what changes a limit."""
        return [seen for seen in reported if self.add(seen, now_s)]


def is_older(limit: KnownLimit, known: KnownLimit) -> bool:
    """Returns whether an observation is older than what is known."""
    return (limit.born_ms, limit.seen_s) < (known.born_ms, known.seen_s)


def ending(limit: KnownLimit, known: KnownLimit | None) -> KnownLimit:
    """Returns the end of a limit; it ended when that was first seen."""
    is_known = known is not None and known.born_ms == limit.born_ms
    if known is None or not is_known or not known.is_ended:
        return limit
    return limit._replace(seen_s=known.seen_s)


def is_worth_reporting(known: KnownLimit, now_s: float) -> bool:
    """Returns whether others may still not know of it."""
    limit_s = ENDED_REPORT_S if known.is_ended else FORGET_S
    return now_s - known.seen_s < limit_s
