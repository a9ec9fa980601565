"""Assembles HTTP/1.1 requests from the callbacks of `httptools`."""

import asyncio
from typing import NamedTuple, Protocol

import httptools

from cactusledge.gateway.client_bounds import Bound, BoundMetError
from cactusledge.gateway.messages import Headers, Limits, Request
from cactusledge.gateway.request_sizes import Phase, RequestSizes

# Bytes that are parsed at once: what a single piece takes in memory is bounded.
PIECE_BYTES = 8192


class Arrived(NamedTuple):
    """A complete request."""

    request: Request
    held: int  # bytes that it takes in memory
    keeps_alive: bool


class ParserTarget(Protocol):
    """Receives the parser's events."""

    @property
    def limits(self) -> Limits:
        """The limits on the next request."""

    def on_begin(self) -> None:
        """Handles the start of a request."""

    def on_announced(self, size: int) -> None:
        """Handles the length of a body that is to come, in bytes.

        Raises:
            BoundMetError: The request is refused.
        """

    def on_expect_continue(self) -> None:
        """Handles `Expect: 100-continue`: the caller waits to send its body."""

    def on_request(self, arrived: Arrived) -> None:
        """Handles a complete request."""


class RequestParser:
    """Collects the parts of each request and emits it when complete.

    Trailers are dropped: none is defined that a gateway or an endpoint reads.
    """

    def __init__(self, target: ParserTarget) -> None:
        """Stores the target of the events."""
        self._target = target
        self._parser = httptools.HttpRequestParser(self)
        self._url = bytearray()
        self._headers: Headers = []
        self._body = bytearray()
        self._sizes = RequestSizes(target.limits)

    @property
    def is_reading(self) -> bool:
        """Whether a request has arrived in part."""
        return self._sizes.phase is not Phase.BETWEEN

    @property
    def held(self) -> int:
        """The bytes that an incomplete request takes in memory."""
        return self._sizes.held if self.is_reading else 0

    def feed(self, piece: bytes | memoryview) -> None:
        """Parses at most `PIECE_BYTES`.

        Raises:
            BoundMetError: The request is refused; nothing more can be parsed.
        """
        sizes, phase = self._sizes, self._sizes.phase
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise refusal_of(exc) from exc
        if self._sizes is sizes and sizes.phase is phase:
            sizes.add_received(len(piece))

    def drop(self) -> None:
        """Drops what has arrived of an incomplete request."""
        self._begin_next()

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._sizes.limits = self._target.limits
        self._sizes.enter(Phase.HEAD)
        self._target.on_begin()

    def on_url(self, url: bytes) -> None:
        """Collects a part of the path and query."""
        self._sizes.add_target(len(url))
        self._url += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects one field of the head."""
        if self._sizes.phase is Phase.BODY:
            self._sizes.add_trailer(name, content)
            return
        self._sizes.add_field(name, content)
        self._headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Tells the target what is to come, unless it exceeds the limit."""
        self._sizes.enter(Phase.BODY)
        announced = announced_bytes(self._headers)
        if announced > self._sizes.limits.body_bytes:
            raise BoundMetError(Bound.BODY)
        self._target.on_announced(announced)
        for name, content in self._headers:
            if name.lower() == b'expect' and b'100' in content:
                self._target.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._sizes.add_body(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Emits the request."""
        request = Request(
            self._parser.get_method(),
            bytes(self._url),
            self._headers,
            bytes(self._body),
            asyncio.get_running_loop().time(),
        )
        held = self._sizes.held
        self._begin_next()
        self._target.on_request(
            Arrived(request, held, self._parser.should_keep_alive())
        )

    def _begin_next(self) -> None:
        self._url = bytearray()
        self._headers = []
        self._body = bytearray()
        self._sizes = RequestSizes(self._target.limits)


def announced_bytes(headers: Headers) -> int:
    """Returns the length of the body that a head gives, 0 if it gives none."""
    for name, content in headers:
        if name.lower() == b'content-length' and content.isdigit():
            return int(content)
    return 0


def refusal_of(exc: Exception) -> BoundMetError:
    """Returns the refusal that an error of the parser leads to."""
    cause = exc.__context__
    if isinstance(cause, BoundMetError):
        return cause
    return BoundMetError(Bound.SYNTAX)
