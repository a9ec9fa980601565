"""Fault switches that the engine and the plain service share."""

import enum
import threading
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

UNLIMITED = -1
CONTROL_PATHS = ('/faults', '/records')  # these meet no fault


class FaultKind(enum.StrEnum):
    """What goes wrong with a request that a fault matches."""

    REFUSE = 'refuse'  # parameter: seconds, 0 until it is switched off
    RESET_BEFORE_READING = 'reset_before_reading'
    RESET_AFTER_EFFECT = 'reset_after_effect'
    HALF_ANSWER = 'half_answer'
    SLOW = 'slow'  # parameter: seconds of delay before the effect
    HANG = 'hang'  # the request is read and never answered, without effect
    HANG_AFTER_EFFECT = 'hang_after_effect'
    SILENCE_OPEN = 'silence_open'  # open connections go silent for good
    ERROR_AFTER_EFFECT = 'error_after_effect'
    ERROR_NOT_RUN = 'error_not_run'  # 503 with the header X-Not-Run
    SLOW_TOKENS = 'slow_tokens'  # parameter: factor on the time of a token
    SILENT_AT = 'silent_at'  # parameter: token after which nothing comes
    CLOSE_AT = 'close_at'  # parameter: token after which the stream closes
    OMIT_END = 'omit_end'  # the stream closes without its end marker
    CROSSED = 'crossed'  # the answer names another request
    DUPLICATE_CHUNK = 'duplicate_chunk'  # parameter: token sent twice


# These act when they are switched on, not on a request.
AT_SWITCHING = frozenset((FaultKind.REFUSE, FaultKind.SILENCE_OPEN))


class Fault(NamedTuple):
    """A switched-on fault."""

    kind: FaultKind
    times: int = UNLIMITED  # matching requests that it still hits
    match: str = ''  # prefix of the path
    parameter: float = 0


class FaultSwitches:
    """The switched-on faults; each request meets at most one of them."""

    def __init__(self) -> None:
        """Starts with every fault off."""
        self._lock = threading.Lock()
        self._faults: list[Fault] = []

    def replace(self, faults: Iterable[Fault]) -> None:
        """Switches on the given faults and all others off."""
        with self._lock:
            self._faults = list(faults)

    def active(self, kind: FaultKind) -> bool:
        """Returns whether a fault of that kind is on."""
        with self._lock:
            return any(fault.kind is kind for fault in self._faults)

    def find(self, path: str) -> Fault | None:
        """Returns the fault that the path would meet, without using it up."""
        with self._lock:
            return self._find(path)

    def take(self, path: str) -> Fault | None:
        """Returns the fault that a request meets and counts it as used."""
        with self._lock:
            fault = self._find(path)
            if fault is not None and fault.times > 0:
                place = self._faults.index(fault)
                self._faults[place] = fault._replace(times=fault.times - 1)
            return fault

    def _find(self, path: str) -> Fault | None:
        hits = (
            fault
            for fault in self._faults
            if fault.times
            and fault.kind not in AT_SWITCHING
            and path.startswith(fault.match)
        )
        return next(hits, None)


def parse_faults(document: Mapping[str, Any]) -> tuple[Fault, ...]:
    """Returns the faults of a `PUT /faults` body.

    The body is `{"faults": [{"kind": K, "times": N, "match": PATH_PREFIX,
    "parameter": X}]}`; all but the kind may be left out.
    """
    return tuple(
        Fault(
            kind=FaultKind(entry['kind']),
            times=int(entry.get('times', UNLIMITED)),
            match=str(entry.get('match', '')),
            parameter=float(entry.get('parameter', 0)),
        )
        for entry in document.get('faults', ())
    )
