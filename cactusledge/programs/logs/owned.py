"""Manages the logs that this instance owns, from takeover to release."""

import threading
import time
from collections.abc import Callable, Collection, Mapping
from concurrent.futures import Executor
from typing import Any, NamedTuple, Protocol

import pykka

from cactusledge.errors import CactusledgeError
from cactusledge.programs import messages as msg
from cactusledge.programs.logs.claims import ClaimBackoff, next_backoff
from cactusledge.telemetry.logs import get_logger

DRIVER_TIMEOUT_S = 10.0
DRAIN_POLL_S = 0.05
MAX_PAUSE_S = 1.5  # after a longer silence, peers suspect this instance

log = get_logger('logs')


class OwnedLog(NamedTuple):
    """A log that this instance sealed, with its driver and writer."""

    name: str
    driver: pykka.ActorRef[Any]
    close: Callable[[], None]  # writes pending records, then stops the writer
    is_lost: Callable[[], bool]  # whether the writer was fenced or failed
    probe: Callable[[], None]  # starts a check for a seal by another instance
    confirm: Callable[[], Any]  # returns a future that fails on such a seal


class LogOpener(Protocol):
    """Seals a log and starts its driver and writer."""

    def __call__(self, name: str, on_lost: Callable[[], None]) -> OwnedLog:
        """Returns the opened log; blocks on requests to the platform.

        Args:
            name: Log to take over.
            on_lost: Called once if another instance seals the log.
        """


class LogTable:
    """The owned logs; thread-safe."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._owned: Mapping[str, OwnedLog] = {}
        self._lock = threading.Lock()

    def find(self, name: str) -> OwnedLog | None:
        """Returns the log if this instance owns it."""
        return self._owned.get(name)

    def all(self) -> tuple[OwnedLog, ...]:
        """Returns the owned logs."""
        return tuple(self._owned.values())

    def names(self) -> tuple[str, ...]:
        """Returns the names of the owned logs."""
        return tuple(sorted(self._owned))

    def put(self, owned: OwnedLog) -> None:
        """Adds a log."""
        with self._lock:
            self._owned = {**self._owned, owned.name: owned}

    def pop(self, name: str) -> OwnedLog | None:
        """Removes a log and returns it."""
        with self._lock:
            remaining = dict(self._owned)
            owned = remaining.pop(name, None)
            self._owned = remaining
        return owned


class LogManager:
    """Takes over logs without an owner; one attempt at a time per log."""

    def __init__(
        self,
        table: LogTable,
        opener: LogOpener,
        workers: Executor,
        logs_to_claim: Callable[[Mapping[str, ClaimBackoff]], tuple[str, ...]],
        claimed_by_peers: Callable[[], Collection[str]],
    ) -> None:
        """Creates the manager.

        Args:
            table: The owned logs.
            opener: Seals logs.
            workers: Executor in which logs are sealed.
            logs_to_claim: Returns the names of the logs to take over, given
                the backoffs.
            claimed_by_peers: Returns the names of the logs that other
                instances report as their own.
        """
        self._table = table
        self._opener = opener
        self._workers = workers
        self._logs_to_claim = logs_to_claim
        self._claimed_by_peers = claimed_by_peers
        self._last_tick_s = time.monotonic()
        self._lock = threading.Lock()
        self._opening: set[str] = set()
        self._backoffs: dict[str, ClaimBackoff] = {}
        self._closed = False
        # Called after each takeover.
        self.announce: Callable[[], None] = lambda: None

    def tick(self) -> None:
        """Starts due takeovers, checks owned logs and ticks the drivers."""
        for name in self._logs_to_claim(self._backoffs):
            self._start_opening(name)
        claimed_by_peers = self._claimed_by_peers()
        was_paused = self._was_paused()
        for owned in self._table.all():
            if owned.is_lost():
                self._lost(owned.name)
                continue
            if was_paused or owned.name in claimed_by_peers:
                owned.probe()
            owned.driver.tell(msg.Tick())

    def request_takeover(self, name: str) -> None:
        """Takes a log over at a peer's request if this instance should."""
        if name in self._logs_to_claim(self._backoffs):
            self._start_opening(name)

    def drain(self, deadline_s: float) -> int:
        """Waits for the running calls to end, then releases the logs.

        Args:
            deadline_s: Monotonic time at which waiting ends.

        Returns:
            The number of calls that were still running at the end.
        """
        self._closed = True
        running_calls = self._running()
        while running_calls and time.monotonic() < deadline_s:
            time.sleep(DRAIN_POLL_S)
            running_calls = self._running()
        for owned in self._table.all():
            self._table.pop(owned.name)
            owned.close()
            owned.driver.stop(block=False)
        return running_calls

    def _was_paused(self) -> bool:
        """Returns whether peers may have considered this instance dead."""
        now_s = time.monotonic()
        paused_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        return paused_s > MAX_PAUSE_S

    def _running(self) -> int:
        running_calls: list[Any] = [
            owned.driver.ask(msg.Drain(), timeout=DRIVER_TIMEOUT_S)
            for owned in self._table.all()
            if owned.driver.is_alive()
        ]
        return sum(running_calls)

    def _start_opening(self, name: str) -> None:
        with self._lock:
            if self._closed or name in self._opening:
                return
            self._opening.add(name)
        self._workers.submit(self._open, name)

    def _open(self, name: str) -> None:
        try:
            owned = self._opener(name, lambda: self._lost(name))
        except CactusledgeError as exc:
            log.warning('Log takeover failed.', log=name, reason=exc.message)
        except Exception:
            log.exception('Log takeover failed.', log=name)
        else:
            self._table.put(owned)
            self.announce()
            log.info('Log taken over.', log=name)
            if owned.is_lost():
                self._lost(name)
        finally:
            self._opening.discard(name)

    def _lost(self, name: str) -> None:
        """Closes a log whose writer was fenced or failed."""
        owned = self._table.pop(name)
        if owned is None:
            return
        self._backoffs[name] = next_backoff(
            self._backoffs, name, time.monotonic()
        )
        log.warning('Log closed: its writer was fenced or failed.', log=name)
        owned.close()
        owned.driver.stop(block=False)
