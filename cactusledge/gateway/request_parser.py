"""Parses requests of HTTP/1.1; `httptools` reads the bytes."""

import asyncio
import http
from typing import Protocol

import httptools

from cactusledge.gateway.messages import Headers, Request


class ParserTarget(Protocol):
    """Receives what the parser finds."""

    def on_begin(self) -> None:
        """Takes note that a request has begun."""

    def on_expect_continue(self) -> None:
        """Takes note that the caller waits before it sends a body."""

    def on_request(self, request: Request, *, keeps_alive: bool) -> None:
        """Takes a request that is whole."""

    def on_rejected(self, status: int) -> None:
        """Takes note of a request that can not be served."""


class RequestParser:
    """Collects the parts of one request after the other."""

    def __init__(self, target: ParserTarget, body_bytes: int) -> None:
        """Keeps whom to give the requests, and the largest body."""
        self.is_reading = False  # part of a request has arrived
        self._target = target
        self._body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._url = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> None:
        """Parses the bytes; raises the parser's errors."""
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
        """Takes a part of the path and query."""
        self._url += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Takes one header."""
        self._headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Looks for an expectation of the caller."""
        for name, content in self._headers:
            if name.lower() == b'expect' and b'100' in content:
                self._target.on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body; more than allowed is not kept."""
        self._size += len(body)
        if self._size <= self._body_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the request on."""
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
