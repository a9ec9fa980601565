"""Slows an endpoint down to the pace at which its caller takes the answer."""

import asyncio
from collections.abc import Callable
from typing import Protocol


def do_nothing() -> None:
    """Takes no note of a transport that has drained."""


class Source(Protocol):
    """Where the bytes of an answer come from."""

    def pause_reading(self) -> None:
        """Reads no more until resumed."""

    def resume_reading(self) -> None:
        """Reads on."""


class Backpressure:
    """Pauses the source of an answer while its caller takes no bytes."""

    def __init__(self, on_resumed: Callable[[], None] = do_nothing) -> None:
        """Starts writable, without a source.

        Args:
            on_resumed: Called when the transport has drained.
        """
        self.is_paused = False  # caller's transport is above its mark
        self._source: Source | None = None
        self._on_resumed = on_resumed

    def connect(self, source: Source) -> None:
        """Sets the source of what is written next."""
        self._source = source
        if self.is_paused:
            source.pause_reading()

    def disconnect(self, source: Source) -> None:
        """Forgets a source that has ended."""
        if self._source is source:
            self._source = None

    def pause(self) -> None:
        """Notes that the transport is above its high-water mark."""
        self.is_paused = True
        if self._source is not None:
            self._source.pause_reading()

    def resume(self) -> None:
        """Notes that the transport has drained to its low-water mark."""
        self.is_paused = False
        if self._source is not None:
            self._source.resume_reading()
        self._on_resumed()


class PacedWriter(asyncio.Protocol):
    """A caller's connection that holds back what is written to it."""

    def __init__(self, flow: Backpressure) -> None:
        """Stores what is held back."""
        self._flow = flow

    def pause_writing(self) -> None:
        """Holds the source back: the caller does not take the response."""
        self._flow.pause()

    def resume_writing(self) -> None:
        """Lets the source go on."""
        self._flow.resume()
