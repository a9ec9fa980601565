"""Writes log lines without blocking the caller.

A thread writes the lines from a bounded queue. Routine lines are dropped and
counted when they exceed the rate limit or when the reader of the stream is
slow; warnings and errors are dropped only when the queue is full.
"""

import json
import threading
import time
from collections import deque
from typing import TextIO

LINES_PER_S = 500.0
BURST_LINES = 1000.0
MAX_QUEUED_LINES = 4000
ROUTINE_SHARE = 0.5  # of the queue; the rest is for warnings and errors
URGENT_MARKS = ('"level": "warning"', '"level": "error"')


class LogWriter:
    """A text stream that queues each line when `print` flushes it."""

    def __init__(
        self,
        stream: TextIO,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
    ) -> None:
        """Starts the thread that writes to the stream."""
        self._stream = stream
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._refilled_s = time.monotonic()
        self._pending = ''
        self._queue: deque[str] = deque()
        self._dropped = 0
        self._has_lines = threading.Event()
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Adds text to the current line."""
        self._pending += text
        return len(text)

    def flush(self) -> None:
        """Queues the current line, or counts it as dropped."""
        line = self._pending
        self._pending = ''
        if line and self._is_allowed(line):
            self._queue.append(line)
            self._has_lines.set()
        elif line:
            self._dropped += 1

    def close(self, timeout_s: float = 1.0) -> None:
        """Waits until the queue is empty, for `timeout_s` at most."""
        deadline_s = time.monotonic() + timeout_s
        while self._queue and time.monotonic() < deadline_s:
            self._has_lines.set()
            time.sleep(timeout_s / MAX_QUEUED_LINES)

    def _is_allowed(self, line: str) -> bool:
        is_urgent = any(mark in line for mark in URGENT_MARKS)
        room = (
            MAX_QUEUED_LINES if is_urgent else MAX_QUEUED_LINES * ROUTINE_SHARE
        )
        if len(self._queue) >= room:
            return False
        return self._take_token() or is_urgent

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _run(self) -> None:
        while self._has_lines.wait():
            self._has_lines.clear()
            self._write_all()

    def _write_all(self) -> None:
        while self._queue:
            self._stream.write(self._queue.popleft())
        dropped = self._dropped
        self._dropped = 0
        if dropped:
            note = {'event': 'telemetry: lines left out', 'count': dropped}
            self._stream.write(f'{json.dumps(note)}\n')
        self._stream.flush()
