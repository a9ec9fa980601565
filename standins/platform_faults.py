"""Fault switches of the platform stand-in."""

import threading
from typing import Any, NamedTuple, TypedDict, cast

import msgspec

ALL = -1  # value of a counting switch that applies until it is reset


class FaultSettings(TypedDict, total=False):
    """The switches as JSON; one that is not given is off."""

    down: str  # 'answer' for 503, 'refuse' for a closed port
    hang: bool
    slow_ms: int
    lose_answers_after_effect: int  # so many writes, or ALL
    cut_answers_after_effect: int  # so many writes, or ALL
    lose_before_effect: int  # so many writes, or ALL
    late_landing_ms: int
    watch_silent: bool
    stale_list: bool


class WriteFaults(NamedTuple):
    """What happens to one write."""

    lose_before: bool = False
    lose_after: bool = False
    cut_after: bool = False
    late_s: float = 0


class Faults:
    """Holds the switches; safe for use by many threads."""

    def __init__(self) -> None:
        """Starts with every switch off."""
        self._lock = threading.Lock()
        self._settings = FaultSettings()
        self.changed = threading.Event()
        self.silence_epoch = 0  # watches opened in an earlier one are silent

    @property
    def settings(self) -> FaultSettings:
        """The switches that are set."""
        with self._lock:
            return self._settings.copy()

    def replace(self, settings: FaultSettings) -> None:
        """Sets the given switches and resets all others."""
        with self._lock:
            self._settings = settings.copy()
            self.silence_epoch += bool(settings.get('watch_silent'))
            self.changed.set()
            self.changed = threading.Event()

    def next_write(self) -> WriteFaults:
        """Returns the faults of the next write and counts them down."""
        with self._lock:
            return WriteFaults(
                lose_before=self._take('lose_before_effect'),
                lose_after=self._take('lose_answers_after_effect'),
                cut_after=self._take('cut_answers_after_effect'),
                late_s=self._settings.get('late_landing_ms', 0) / 1000,
            )

    def _take(self, switch: str) -> bool:
        counters = cast('dict[str, int]', self._settings)
        left = counters.get(switch, 0)
        if left > 0:
            counters[switch] = left - 1
        return left != 0


def decode_faults(data: bytes) -> FaultSettings:
    """Returns the switches in the JSON bytes; an unknown one is an error."""
    given = msgspec.json.decode(data, type=dict[str, Any])
    unknown = given.keys() - FaultSettings.__annotations__.keys()
    if unknown:
        raise msgspec.ValidationError(f'unknown switches: {sorted(unknown)}')
    return msgspec.convert(given, FaultSettings)
