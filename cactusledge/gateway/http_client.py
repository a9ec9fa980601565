"""HTTP/1.1 client connection to an endpoint, on asyncio and `httptools`."""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Protocol

import httptools

from cactusledge.gateway.answer_end import (
    Framing,
    Transfer,
    TransferEnd,
    framing_of,
)
from cactusledge.gateway.backpressure import Backpressure
from cactusledge.gateway.buffer_space import BufferSpace
from cactusledge.gateway.byte_bounds import ByteBounds, ByteCount
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.messages import EndpointAnswer
from cactusledge.gateway.paced_reading import PacedReader
from cactusledge.gateway.peer_end import is_end_in_order
from cactusledge.gateway.received_head import ReceivedHead
from cactusledge.gateway.refusals import Refusals
from cactusledge.records.frames import set_socket_options

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


class AnswerTooLargeError(Exception):
    """More of an answer came than may be kept, and it cannot be passed on."""


class AnswerSink(Protocol):
    """Receives one response as it arrives."""

    def on_head(self, answer: EndpointAnswer, framing: Framing) -> None:
        """Handles the head."""

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body.

        Raises:
            AnswerTooLargeError: The answer cannot be taken any further.
        """

    def on_end(self, transfer: Transfer) -> None:
        """Handles the end of the response; called once."""


class EndpointConnection(PacedReader):
    """A connection to an endpoint; carries one request at a time."""

    def __init__(
        self,
        dialect: Dialect,
        on_idle: Callable[['EndpointConnection', float | None], None],
        on_answer: Callable[[EndpointAnswer], None],
        space: BufferSpace | None = None,
        *,
        echoes_ids: bool = True,
    ) -> None:
        """Stores the callbacks.

        Args:
            dialect: Reads the heads of responses.
            on_idle: Takes the connection for reuse, and for how long.
            on_answer: Called with the head of each response.
            space: Counts the bytes of all answers.
            echoes_ids: Whether each response names its request.
        """
        super().__init__(space or BufferSpace())
        self._dialect = dialect
        self._on_idle = on_idle
        self._on_answer = on_answer
        self._head = ReceivedHead()
        # Callbacks of the parser, beside the methods below.
        self.on_status = self._head.add_reason
        self.on_header = self._head.add_header
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = ''
        self.refusals = Refusals(echoes_ids=echoes_ids)
        self._sink: AnswerSink | None = None
        self._is_skipping = False
        self._byte_count = ByteCount(ByteBounds())
        self._framing = Framing.NONE
        self._idle_s: float | None = None
        self.received_s = -math.inf  # loop clock

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def send(
        self,
        parts: Sequence[bytes],
        request_id: str,
        sink: AnswerSink,
        flow: Backpressure | None = None,
    ) -> None:
        """Sends a request; the response goes to the sink, as fast as it flows.

        The parts are not joined: a body that the endpoint takes slowly is not
        held twice. Without `flow` nothing holds the response back.
        """
        self._request_id = request_id
        self.refusals.begin(request_id)
        self._sink = sink
        self._framing = Framing.NONE
        self._byte_count.begin_request()
        self._activity_s = asyncio.get_running_loop().time()
        if self._transport is None:
            self._end(TransferEnd.RESET)
            return
        if flow is not None:
            self.join_flow(flow)
        self._transport.writelines(parts)

    def abort(self) -> None:
        """Closes the connection without any further call of the sink."""
        self._sink = None
        self.leave_flow()
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport  # type: ignore[assignment]
        set_socket_options(transport.get_extra_info('socket'))

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses the data; unsolicited data closes the connection."""
        self.received_s = asyncio.get_running_loop().time()
        self._activity_s = self.received_s
        if self._sink is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abandon()
            return
        if not self._byte_count.add_received(len(data)):
            self.abandon()

    def eof_received(self) -> None:
        """Ends the response in progress unless the endpoint ended in order.

        What came from an endpoint that has not taken the whole request may be a
        part of its response only.
        """
        transport = self._transport
        if transport is None or self._sink is None:
            return
        if not is_end_in_order(transport):
            self._end(TransferEnd.RESET)
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the response in progress by a close or a failure."""
        self._transport = None
        self._end(TransferEnd.CLOSED if exc is None else TransferEnd.RESET)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a response; an unsolicited one closes the connection."""
        self._head.begin()
        self._is_skipping = False
        if self._sink is None:
            self.abort()

    def on_headers_complete(self) -> None:
        """Handles the head; skips a late response to another request.

        A head that two answers make up ends the connection, and so does one
        with an invalid status, or without a request id on a connection that has
        carried other requests.
        """
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._is_skipping = True
            self.abandon()
            return
        sink = self._sink
        self._is_skipping = sink is None or status < FIRST_FINAL_STATUS
        if sink is None or self._is_skipping:
            self._byte_count.add_skipped()
            return
        head = self._head
        answer = self._dialect.read_answer(status, head.headers, head.reason)
        if not (answer.is_sound and self.refusals.can_assign(answer)):
            self._is_skipping = True
            self.abandon()
            return
        answer = self.refusals.own(answer)
        self._idle_s = answer.idle_s
        self._on_answer(answer)
        if answer.request_id and answer.request_id != self._request_id:
            self._is_skipping = True
            self._byte_count.add_skipped()
            return
        self._byte_count.add_progress()
        self._framing = framing_of(head.headers)
        sink.on_head(answer, self._framing)

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._is_skipping or self._sink is None:
            self._byte_count.add_skipped()
            return
        self._byte_count.add_progress()
        try:
            self._sink.on_body(body)
        except AnswerTooLargeError:
            self.abandon()

    def on_message_complete(self) -> None:
        """Ends the response and returns the connection for reuse."""
        if self._is_skipping:
            return
        has_framing = self._framing is not Framing.NONE
        keeps_alive = (
            self._parser.should_keep_alive()
            and has_framing
            and not self.refusals.is_full
        )
        self._end(TransferEnd.FRAMED)
        if keeps_alive and self.is_open:
            self._on_idle(self, self._idle_s)
        elif self._transport is not None:
            self._transport.close()

    def abandon(self) -> None:
        """Ends the response as broken and closes the connection."""
        self._end(TransferEnd.ABANDONED)
        if self._transport is not None:
            self._transport.abort()

    def _end(self, end: TransferEnd) -> None:
        sink = self._sink
        self._sink = None
        self.leave_flow()
        if sink is not None:
            sink.on_end(Transfer(self._framing, end))
