"""Assembles HTTP/1.1 requests from the callbacks of `httptools`."""

import asyncio
import http
from typing import Protocol

import httptools

from cactusledge.gateway.messages import Headers, Request


class ParserTarget(Protocol):
    """Receives the parser's events."""

    def on_begin(self) -> None:
        """Handles the start of a request."""

    def on_expect_continue(self) -> None:
        """Handles `Expect: 100-continue`: the caller waits to send its body."""

    def on_request(self, request: Request, *, keeps_alive: bool) -> None:
        """Handles a complete request."""

    def on_rejected(self, status: int) -> None:
        """Handles a request that must be refused with a status."""


class RequestParser:
    """Collects the parts of each request and emits it when complete."""

    def __init__(self, target: ParserTarget, body_bytes: int) -> None:
        """Stores the target of the events and the body size limit."""
        self.is_reading = False  # a request has arrived in part
        self._target = target
        self._body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Parses the bytes; raises the errors of `httptools`."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._url = b''
        self._headers = []
        self._body = []
        self._size = 0
        self.is_reading = True
        self._target.on_begin()

    def on_url(self, url: bytes) -> None:
        """Collects a part of the path and query."""
        self._url += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects one header."""
        self._headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Reports `Expect: 100-continue` to the target."""
        for name, content in self._headers:
            if name.lower() == b'expect' and b'100' in content:
                self._target.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body; drops what exceeds the limit."""
        self._size += len(body)
        if self._size <= self._body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Emits the request, or a 413 if its body exceeds the limit."""
        self.is_reading = False
        if self._size > self._body_bytes:
            self._target.on_rejected(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        request = Request(
            self._parser.get_method(),
            self._url,
            self._headers,
            b''.join(self._body),
            asyncio.get_running_loop().time(),
        )
        self._target.on_request(
            request, keeps_alive=self._parser.should_keep_alive()
        )
