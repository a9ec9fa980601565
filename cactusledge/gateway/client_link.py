"""The transport of a client's connection, and what is held for the client."""

import asyncio
from collections.abc import Callable

from cactusledge.gateway.backpressure import Backpressure
from cactusledge.gateway.request_input import RequestInput

LINGER_MS = 2000  # for a refused client to read why


class ClientLink:
    """A client's transport; does nothing once the connection is lost."""

    def __init__(self) -> None:
        """Starts before the connection is made."""
        self.transport: asyncio.Transport | None = None
        self.is_lingering = False
        self._is_aborted = False
        self._is_paused = False
        self._discarded = 0  # bytes
        self._unsent_before = 0  # bytes

    @property
    def unsent(self) -> int:
        """The bytes of answers that the client has not taken."""
        if self.transport is None or self._is_aborted:
            return 0
        return self.transport.get_write_buffer_size()

    def is_stalled(self) -> bool:
        """Returns whether the client has taken nothing since the last call."""
        unsent = self.unsent
        is_stalled = unsent > 0 and unsent == self._unsent_before
        self._unsent_before = unsent
        return is_stalled

    def set_reading(self, *, reads: bool) -> None:
        """Reads on, or not until called again."""
        transport = self._open
        if transport is None or self._is_paused is not reads:
            return
        self._is_paused = not reads
        if reads:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def linger(self) -> None:
        """Ends the answers, and reads on for the client to read the last.

        A close with bytes unread would reset the connection.
        """
        self.is_lingering = True
        self.set_reading(reads=True)
        if self._open is not None:
            self._open.write_eof()

    def discard(self, size: int, most: int) -> None:
        """Takes note of bytes after the last request; aborts above `most`."""
        self._discarded += size
        if self._discarded > most:
            self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._is_aborted = True
        if self.transport is not None:
            self.transport.abort()

    @property
    def _open(self) -> asyncio.Transport | None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return None
        return transport


class ClientHoldings:
    """The bytes of one connection; implements `client_memory.Holder`."""

    def __init__(
        self,
        requests: RequestInput,
        link: ClientLink,
        flow: Backpressure,
        drop: Callable[[], None],
    ) -> None:
        """Stores where the bytes are, and what drops them."""
        self.serving = 0  # bytes of the request in service
        self.since_s = float(0)  # of the present request or answer; loop clock
        self._requests = requests
        self._link = link
        self._flow = flow
        self._drop = drop

    @property
    def held(self) -> int:
        """The bytes that the connection holds now."""
        return self.serving + self._requests.held + self._link.unsent

    @property
    def spare(self) -> int:
        """The bytes that giving way frees.

        A request in service is kept unless its client does not take the answer,
        and so is the end of an answer that is being taken.
        """
        return self.held if self._flow.is_paused else self._requests.held

    def stalled_s(self, now_s: float) -> float:
        """Returns for how long the request or the answer has not ended."""
        return now_s - self.since_s

    def give_back(self) -> None:
        """Drops what can be spared."""
        self._drop()
