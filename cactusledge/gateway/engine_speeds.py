"""Learns how fast each engine generates, from the events of its answers.

The time between events does not depend on the prompt or on a queue, so a few
answers show how fast an engine is.
"""

import math
import statistics
from collections.abc import Iterable
from typing import NamedTuple

KEPT_SHARE = 0.8  # of what earlier answers showed, with each new one
PRIOR_EVENTS = 4.0  # events for which an unknown engine counts as usual
FORGET_S = 5.0  # time constant; a slow engine gets turns again
EQUAL_SHARE = 0.2  # smaller differences come from what runs beside
MAX_CHANGE = 3.0  # factor by which one answer may differ from earlier ones


class TimedEvents(NamedTuple):
    """Events of an answer, and the time that they took."""

    events: int = 0  # after those of the first part
    took_ms: float = 0
    first_s: float | None = None  # time of the first part, None without any


class EventTimer:
    """Times the events of one answer as they arrive."""

    def __init__(self) -> None:
        """Starts before the first event."""
        self._first_s: float | None = None
        self._last_s = float(0)
        self._first_events = 0
        self._events = 0

    @property
    def timed(self) -> TimedEvents:
        """The events after the first part of the answer."""
        if self._first_s is None:
            return TimedEvents()
        return TimedEvents(
            self._events - self._first_events,
            (self._last_s - self._first_s) * 1000,
            self._first_s,
        )

    def note(self, events: int, now_s: float) -> None:
        """Notes how many events have arrived."""
        if self._first_s is None:
            self._first_s = now_s
            self._first_events = events
        self._last_s = now_s
        self._events = events


class Pace:
    """Time per event of one lifetime of an engine, over recent answers."""

    def __init__(self) -> None:
        """Starts with nothing known."""
        self._events = float(0)
        self._took_ms = float(0)
        self._sampled_s = float(0)  # time of the last answer

    @property
    def event_ms(self) -> float | None:
        """The time per event, None if nothing is known."""
        return self._took_ms / self._events if self._events else None

    def add(self, timed: TimedEvents, now_s: float) -> None:
        """Adds an answer; one that differs much counts only in part."""
        if timed.events <= 0:
            return
        took_ms = timed.took_ms
        known_ms = self.event_ms
        if known_ms:
            usual_ms = known_ms * timed.events
            took_ms = min(took_ms, usual_ms * MAX_CHANGE)
            took_ms = max(took_ms, usual_ms / MAX_CHANGE)
        self._events = KEPT_SHARE * self._events + timed.events
        self._took_ms = KEPT_SHARE * self._took_ms + took_ms
        self._sampled_s = now_s

    def expected_ms(self, usual_ms: float, now_s: float) -> float:
        """Returns the time per event to expect, near the usual if unsure."""
        known_ms = self.event_ms
        if known_ms is None:
            return usual_ms
        age_s = max(0, now_s - self._sampled_s)
        events = self._events * math.exp(-age_s / FORGET_S)
        expected_ms = (events * known_ms + PRIOR_EVENTS * usual_ms) / (
            events + PRIOR_EVENTS
        )
        if abs(expected_ms - usual_ms) < EQUAL_SHARE * usual_ms:
            return usual_ms
        return expected_ms


def usual_event_ms(paces: Iterable[Pace]) -> float:
    """Returns the median time per event, 0 if nothing is known."""
    known = [pace.event_ms for pace in paces if pace.event_ms is not None]
    return statistics.median(known) if known else 0
