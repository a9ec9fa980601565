"""One model request's stream across its connections."""

import json
import time
from collections.abc import Iterator, Mapping
from contextlib import closing
from typing import NamedTuple
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
    EndpointFailedError,
    EndpointRefusedError,
    EndpointRejectedError,
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
LINE_LIMIT_BYTES = 1_048_576
RESUME_PAUSE_S = 0.05
UNREADABLE = (ValueError, LookupError, TypeError, AttributeError)
NOT_RESUMED = (
    AnswerMismatchError,
    EndpointDeadlineError,
    EndpointRejectedError,
)


class EngineLimits(NamedTuple):
    """Limits on the waits for an engine, in seconds, and on resumptions."""

    connect_s: float = 1
    first_token_s: float = 30
    inter_token_s: float = 5
    resumptions: int = 3
    order_s: float = 60  # until an engine has carried out an order


class StreamRequest(NamedTuple):
    """What is asked of an engine."""

    endpoint: Endpoint
    request_id: str
    body: Mapping[str, object]
    headers: Mapping[str, str]
    deadline_s: float


class ModelStream:
    """Reads one answer, over as many connections as the limits allow."""

    def __init__(
        self,
        request: StreamRequest,
        pools: ConnectionPools,
        limits: EngineLimits,
    ) -> None:
        """Keeps the request; `events` sends it."""
        self._request = request
        self._endpoint = request.endpoint
        self._pools = pools
        self._limits = limits
        self._assembly = Assembly(request.request_id)

    @property
    def text(self) -> str:
        """The text so far."""
        return self._assembly.text

    def events(self) -> Iterator[StreamEvent]:
        """Yields the chunks in order, then the whole."""
        try:
            yield from self._start()
        except NOT_RESUMED:
            raise
        except EndpointFailedError as exc:
            self._pools.evict(self._endpoint.address)
            yield from self._resume(exc)
        yield self._whole()

    def _start(self) -> Iterator[StreamEvent]:
        request = self._request
        outgoing = Outgoing(
            'POST',
            COMPLETIONS_PATH,
            {**request.headers, REQUEST_ID_HEADER: request.request_id},
            {**request.body, 'stream': True},
        )
        with self._pools.fresh(self._endpoint.address) as pool:
            exchange = send(pool, self._endpoint, outgoing, self._waits())
            with closing(exchange):
                yield from self._read(exchange)

    def _resume(self, failure: EndpointFailedError) -> Iterator[StreamEvent]:
        for _ in range(self._limits.resumptions):
            try:
                yield from self._read_on()
            except NOT_RESUMED:
                raise
            except EndpointRefusedError:
                # The first send decides the outcome, not this refusal.
                time.sleep(RESUME_PAUSE_S)
            except EndpointFailedError as exc:
                failure = exc
            else:
                return
        raise failure

    def _read_on(self) -> Iterator[StreamEvent]:
        name = quote(self._request.request_id, safe='')
        path = f'/v1/streams/{name}?offset={self._assembly.offset}'
        outgoing = Outgoing('GET', path, self._request.headers)
        with self._pools.fresh(self._endpoint.address) as pool:
            exchange = send(pool, self._endpoint, outgoing, self._waits())
            with closing(exchange):
                yield from self._read(exchange)

    def _read(self, exchange: Exchange) -> Iterator[StreamEvent]:
        self._check_status(exchange)
        token_s = time.monotonic()
        for line in data_lines(exchange.pieces()):
            if line == END_MARKER:
                self._whole()
                exchange.finish()
                return
            chunks = self._take(line)
            if chunks:
                yield from chunks
                exchange.waits = self._waits()
                token_s = time.monotonic()  # the reader may have been slow
            self._check_progress(token_s)
        raise self._failed('ended without its end marker')

    def _waits(self) -> Waits:
        first = self._assembly.offset == 0
        limits = self._limits
        silence_s = limits.first_token_s if first else limits.inter_token_s
        return Waits(self._request.deadline_s, limits.connect_s, silence_s)

    def _whole(self) -> Finished:
        finished = self._assembly.finished()
        if finished is None:
            raise self._failed('ended before all of its chunks had come')
        return finished

    def _take(self, line: bytes) -> list[Chunk]:
        try:
            return self._assembly.take(json.loads(line))
        except ForeignChunkError as exc:
            raise AnswerMismatchError(
                f'{self._endpoint.name} sent a chunk of the request {exc}.',
                remedy='Ask another replica; report the fault to its owner.',
                endpoint=self._endpoint.name,
            ) from exc
        except UNREADABLE as exc:
            raise self._failed('holds a chunk that cannot be read') from exc

    def _check_status(self, exchange: Exchange) -> None:
        status = exchange.response.status
        if status == HTTP_OK:
            return
        raise EndpointRejectedError(
            f'{self._endpoint.name} answered with status {status}.',
            remedy='Check the request; for 404 the stream is not known.',
            endpoint=self._endpoint.name,
            status=status,
        )

    def _check_progress(self, token_s: float) -> None:
        limit_s = self._waits().silence_s
        if time.monotonic() - token_s <= limit_s:
            return
        raise EndpointSilentError(
            f'{self._endpoint.name} sent no token for {limit_s} s.',
            remedy='Ask another replica.',
            endpoint=self._endpoint.name,
        )

    def _failed(self, what: str) -> EndpointFailedError:
        return EndpointFailedError(
            f'The stream of {self._endpoint.name} {what}.',
            remedy='Ask another replica.',
            endpoint=self._endpoint.name,
        )


def data_lines(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Yields what follows `data:` on the lines of a body."""
    rest = b''
    for piece in pieces:
        *lines, rest = (rest + piece).split(b'\n')
        if len(rest) > LINE_LIMIT_BYTES:
            return  # the end marker is missing then
        for line in lines:
            if line.startswith(DATA_PREFIX):
                yield line.removeprefix(DATA_PREFIX).strip()
