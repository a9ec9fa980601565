"""Reads the stream of a model request and resumes it after failures."""

import json
import time
from collections.abc import Iterator, Mapping
from contextlib import closing
from typing import NamedTuple
from urllib.parse import quote

from cactusledge.endpoints.errors import (
    AnswerMismatchError,
    EndpointDeadlineError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointRejectedError,
    EndpointSilentError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.stream_assembly import (
    AnswerAssembly,
    Chunk,
    Finished,
    ForeignChunkError,
    StreamEvent,
)
from cactusledge.endpoints.transport import (
    Exchange,
    HttpRequest,
    Timeouts,
    send,
)
from cactusledge.models import Endpoint

REQUEST_ID_HEADER = 'X-Request-Id'
COMPLETIONS_PATH = '/v1/chat/completions'
DATA_PREFIX = b'data:'
END_MARKER = b'[DONE]'
HTTP_OK = 200
MAX_LINE_BYTES = 1_048_576
RESUME_DELAY_S = 0.05
MALFORMED_CHUNK_ERRORS = (ValueError, LookupError, TypeError, AttributeError)
NOT_RESUMABLE = (
    AnswerMismatchError,
    EndpointDeadlineError,
    EndpointRejectedError,
)


class EngineLimits(NamedTuple):
    """Timeouts for an engine, in seconds, and the limit on resumptions."""

    connect_timeout_s: float = 1
    first_token_s: float = 30
    inter_token_s: float = 5
    resumptions: int = 3
    order_timeout_s: float = 60  # until an engine has executed an order


class StreamRequest(NamedTuple):
    """A completion request to an engine."""

    endpoint: Endpoint
    request_id: str
    body: Mapping[str, object]
    headers: Mapping[str, str]
    deadline_s: float


class ModelStream:
    """Reads one answer; resumes it on new connections within the limits."""

    def __init__(
        self,
        request: StreamRequest,
        pools: ConnectionPools,
        limits: EngineLimits,
    ) -> None:
        """Prepares the stream; `events` sends the request."""
        self._request = request
        self._endpoint = request.endpoint
        self._pools = pools
        self._limits = limits
        self._assembly = AnswerAssembly(request.request_id)

    @property
    def text(self) -> str:
        """The text received so far."""
        return self._assembly.text

    def events(self) -> Iterator[StreamEvent]:
        """Yields the chunks in order, then the complete answer."""
        try:
            yield from self._start()
        except NOT_RESUMABLE:
            raise
        except EndpointFailedError as exc:
            self._pools.evict(self._endpoint.address)
            yield from self._resume(exc)
        yield self._complete_answer()

    def _start(self) -> Iterator[StreamEvent]:
        request = self._request
        outgoing = HttpRequest(
            'POST',
            COMPLETIONS_PATH,
            {**request.headers, REQUEST_ID_HEADER: request.request_id},
            {**request.body, 'stream': True},
        )
        with self._pools.fresh(self._endpoint.address) as pool:
            exchange = send(pool, self._endpoint, outgoing, self._timeouts())
            with closing(exchange):
                yield from self._read(exchange)

    def _resume(self, failure: EndpointFailedError) -> Iterator[StreamEvent]:
        for _ in range(self._limits.resumptions):
            try:
                yield from self._reconnect()
            except NOT_RESUMABLE:
                raise
            except EndpointRefusedError:
                # Only the resumption was refused; the request may have run.
                time.sleep(RESUME_DELAY_S)
            except EndpointFailedError as exc:
                failure = exc
            else:
                return
        raise failure

    def _reconnect(self) -> Iterator[StreamEvent]:
        name = quote(self._request.request_id, safe='')
        path = f'/v1/streams/{name}?offset={self._assembly.offset}'
        outgoing = HttpRequest('GET', path, self._request.headers)
        with self._pools.fresh(self._endpoint.address) as pool:
            exchange = send(pool, self._endpoint, outgoing, self._timeouts())
            with closing(exchange):
                yield from self._read(exchange)

    def _read(self, exchange: Exchange) -> Iterator[StreamEvent]:
        self._check_status(exchange)
        last_token_s = time.monotonic()
        for line in data_lines(exchange.body_parts()):
            if line == END_MARKER:
                self._complete_answer()
                exchange.drain()
                return
            chunks = self._add_chunk(line)
            if chunks:
                yield from chunks
                exchange.timeouts = self._timeouts()
                last_token_s = (
                    time.monotonic()
                )  # the consumer may have been slow
            self._check_progress(last_token_s)
        raise self._stream_error('ended without its end marker')

    def _timeouts(self) -> Timeouts:
        first = self._assembly.offset == 0
        limits = self._limits
        read_timeout_s = limits.first_token_s if first else limits.inter_token_s
        return Timeouts(
            self._request.deadline_s, limits.connect_timeout_s, read_timeout_s
        )

    def _complete_answer(self) -> Finished:
        finished = self._assembly.finished()
        if finished is None:
            raise self._stream_error('ended before all chunks had arrived')
        return finished

    def _add_chunk(self, line: bytes) -> list[Chunk]:
        try:
            return self._assembly.add_chunk(json.loads(line))
        except ForeignChunkError as exc:
            raise AnswerMismatchError(
                f'{self._endpoint.name} sent a chunk of another request: '
                f'{exc}.',
                remedy='Use another replica; report the fault to its owner.',
                endpoint=self._endpoint.name,
            ) from exc
        except MALFORMED_CHUNK_ERRORS as exc:
            raise self._stream_error('contains a malformed chunk') from exc

    def _check_status(self, exchange: Exchange) -> None:
        status = exchange.response.status
        if status == HTTP_OK:
            return
        raise EndpointRejectedError(
            f'{self._endpoint.name} answered with status {status}.',
            remedy='Check the request; 404 means that the stream is not known.',
            endpoint=self._endpoint.name,
            status=status,
        )

    def _check_progress(self, last_token_s: float) -> None:
        limit_s = self._timeouts().read_timeout_s
        if time.monotonic() - last_token_s <= limit_s:
            return
        raise EndpointSilentError(
            f'{self._endpoint.name} sent no token for {limit_s} s.',
            remedy='Send the request to another replica.',
            endpoint=self._endpoint.name,
        )

    def _stream_error(self, what: str) -> EndpointFailedError:
        return EndpointFailedError(
            f'The stream of {self._endpoint.name} {what}.',
            remedy='Send the request to another replica.',
            endpoint=self._endpoint.name,
        )


def data_lines(body_parts: Iterator[bytes]) -> Iterator[bytes]:
    """Yields the content of the `data:` lines of an event stream."""
    rest = b''
    for part in body_parts:
        *lines, rest = (rest + part).split(b'\n')
        if len(rest) > MAX_LINE_BYTES:
            return  # the caller then reports a missing end marker
        for line in lines:
            if line.startswith(DATA_PREFIX):
                yield line.removeprefix(DATA_PREFIX).strip()
