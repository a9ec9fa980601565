"""Client of model engines: streams that resume, cache, load and orders."""

import json
import time
from collections.abc import Iterator, Mapping
from contextlib import closing
from typing import Any, NamedTuple
from urllib.parse import quote

from cactusledge.endpoints.assembly import (
    Assembly,
    Chunk,
    Finished,
    ForeignChunkError,
    StreamEvent,
)
from cactusledge.endpoints.errors import (
    AnswerMismatchError,
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointSilentError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.transport import Exchange, Outgoing, Waits, send
from cactusledge.models import Endpoint

REQUEST_ID_HEADER = 'X-Request-Id'
COMPLETIONS_PATH = '/v1/chat/completions'
DATA_PREFIX = b'data:'
END_MARKER = b'[DONE]'
HTTP_OK = 200

__all__ = ('Chunk', 'EngineClient', 'EngineLimits', 'Finished', 'StreamEvent')


class EngineLimits(NamedTuple):
    """Limits on the waits of a stream, in seconds, and on its resumptions."""

    connect_s: float = 1
    first_token_s: float = 30
    inter_token_s: float = 5
    resumptions: int = 3


DEFAULT_LIMITS = EngineLimits()


class _Stream:
    """One request's stream across its connections."""

    def __init__(
        self,
        endpoint: Endpoint,
        request_id: str,
        deadline_s: float,
        limits: EngineLimits,
    ) -> None:
        self.endpoint = endpoint
        self.request_id = request_id
        self.assembly = Assembly(request_id)
        self.deadline_s = deadline_s
        self.limits = limits

    def waits(self) -> Waits:
        """Returns the limits that hold for the next read."""
        first = self.assembly.offset == 0
        limits = self.limits
        silence_s = limits.first_token_s if first else limits.inter_token_s
        return Waits(self.deadline_s, limits.connect_s, silence_s)

    def read(self, exchange: Exchange) -> Iterator[StreamEvent]:
        """Yields the events of one connection; returns at its end marker."""
        exchange.waits = self.waits()
        token_s = time.monotonic()
        for line in _lines(exchange):
            if line == END_MARKER:
                return
            chunks = self._take(line)
            if chunks:
                token_s = time.monotonic()
                exchange.waits = self.waits()
                yield from chunks
            self._check_progress(token_s, exchange.waits)
        raise self._failed('ended without its end marker')

    def whole(self) -> Finished:
        """Returns the whole answer."""
        finished = self.assembly.finished()
        if finished is None:
            raise self._failed('ended before all of its chunks had come')
        return finished

    def _take(self, line: bytes) -> list[Chunk]:
        try:
            return self.assembly.take(json.loads(line))
        except ForeignChunkError as exc:
            raise AnswerMismatchError(
                f'{self.endpoint.name} sent a chunk of the request {exc}.',
                remedy='Ask another replica; report the fault to its owner.',
                endpoint=self.endpoint.name,
            ) from exc
        except (ValueError, LookupError, TypeError) as exc:
            raise self._failed('holds a chunk that cannot be read') from exc

    def _check_progress(self, token_s: float, waits: Waits) -> None:
        if time.monotonic() - token_s > waits.silence_s:
            raise EndpointSilentError(
                f'{self.endpoint.name} sent no token for {waits.silence_s} s.',
                remedy='Resume the stream, or ask another replica.',
                endpoint=self.endpoint.name,
            )

    def _failed(self, what: str) -> EndpointFailedError:
        return EndpointFailedError(
            f'The stream of {self.endpoint.name} {what}.',
            remedy='Resume the stream, or ask another replica.',
            endpoint=self.endpoint.name,
        )


class EngineClient:
    """Talks to model engines."""

    def __init__(
        self,
        pools: ConnectionPools,
        limits: EngineLimits = DEFAULT_LIMITS,
    ) -> None:
        """Keeps the connections to use and the limits."""
        self._pools = pools
        self._limits = limits

    def stream(
        self,
        endpoint: Endpoint,
        body: Mapping[str, Any],
        *,
        request_id: str,
        deadline_s: float,
        headers: Mapping[str, str],
    ) -> Iterator[StreamEvent]:
        """Yields the chunks of an answer in order, then the whole.

        A stream that breaks or goes silent is resumed at the same engine on a
        fresh connection, a bounded number of times.

        Args:
            endpoint: Engine to ask.
            body: Completion request; it is always asked to stream.
            request_id: Names the stream; unique for each request.
            deadline_s: Point in time of `time.monotonic` to give up at.
            headers: Further headers, such as `traceparent`.

        Raises:
            EndpointRefusedError: Nothing was sent, or the engine did not run.
            EndpointFailedError: Whether it ran is not known; `text` holds the
                output that had arrived.
        """
        stream = _Stream(endpoint, request_id, deadline_s, self._limits)
        try:
            yield from self._follow(stream, body, headers)
        except EndpointError as exc:
            exc.text = stream.assembly.text
            raise

    def _follow(
        self,
        stream: _Stream,
        body: Mapping[str, Any],
        headers: Mapping[str, str],
    ) -> Iterator[StreamEvent]:
        try:
            yield from self._start(stream, body, headers)
        except EndpointFailedError as exc:
            self._pools.evict(stream.endpoint.address)
            yield from self._resume(stream, headers, exc)
        yield stream.whole()

    def _start(
        self,
        stream: _Stream,
        body: Mapping[str, Any],
        headers: Mapping[str, str],
    ) -> Iterator[StreamEvent]:
        request = Outgoing(
            'POST',
            COMPLETIONS_PATH,
            {**headers, REQUEST_ID_HEADER: stream.request_id},
            {**body, 'stream': True},
        )
        with self._pools.shared(stream.endpoint.address) as pool:
            exchange = send(pool, stream.endpoint, request, stream.waits())
            with closing(exchange):
                yield from stream.read(exchange)
                stream.whole()

    def _resume(
        self,
        stream: _Stream,
        headers: Mapping[str, str],
        failure: EndpointError,
    ) -> Iterator[StreamEvent]:
        for _ in range(self._limits.resumptions):
            if isinstance(failure, _FINAL):
                break
            try:
                yield from self._read_on(stream, headers)
            except EndpointRefusedError:
                continue  # the first send decides the outcome
            except EndpointFailedError as exc:
                failure = exc
                continue
            return
        raise failure

    def _read_on(
        self,
        stream: _Stream,
        headers: Mapping[str, str],
    ) -> Iterator[StreamEvent]:
        name = quote(stream.request_id, safe='')
        path = f'/v1/streams/{name}?offset={stream.assembly.offset}'
        request = Outgoing('GET', path, headers)
        with self._pools.fresh(stream.endpoint.address) as pool:
            exchange = send(pool, stream.endpoint, request, stream.waits())
            with closing(exchange):
                yield from stream.read(exchange)
                stream.whole()


_FINAL = (AnswerMismatchError, EndpointDeadlineError)


def _lines(exchange: Exchange) -> Iterator[bytes]:
    """Yields what follows `data:` on the lines of a body."""
    rest = b''
    for piece in exchange.pieces():
        *lines, rest = (rest + piece).split(b'\n')
        for line in lines:
            if line.startswith(DATA_PREFIX):
                yield line.removeprefix(DATA_PREFIX).strip()
