"""One turn being streamed to its caller, from one or more engines."""

import asyncio

import structlog

from cactusledge.gateway.answer_end import Framing
from cactusledge.gateway.answers import CallerPassage
from cactusledge.gateway.buffer_space import HeldBytes
from cactusledge.gateway.chains import EMPTY_CHAIN, Chain
from cactusledge.gateway.clock import now
from cactusledge.gateway.context import Call, Fleet
from cactusledge.gateway.engine_speeds import TimedEvents
from cactusledge.gateway.events import (
    EventCount,
    EventSplitter,
    EventTooLargeError,
)
from cactusledge.gateway.http_client import AnswerTooLargeError
from cactusledge.gateway.messages import EndpointAnswer, Outgoing, Replica
from cactusledge.gateway.placement import (
    UNITS_PER_TURN,
    Terms,
    choose_engine,
)
from cactusledge.gateway.reading_speeds import Reading
from cactusledge.gateway.selection import Selection
from cactusledge.gateway.sinks import StreamAnswer

RECORD_BYTES = 1048576  # of the text of a turn that is recorded

log = structlog.get_logger('gateway')


class TurnStream:
    """The stream of one turn, and the tokens that its caller has received.

    A resumable stream is forwarded by whole events, so that another engine can
    continue it after the last one. The caller keeps the head of the first
    engine that answered.
    """

    def __init__(
        self, call: Call, tokens_per_event: int, held: HeldBytes
    ) -> None:
        """Starts before the first attempt, without a chain."""
        self.call = call
        self.chain: Chain = EMPTY_CHAIN
        self.is_recorded = False
        self.may_be_reserved = True  # its tokens, at the stores
        self.held = held
        self.is_too_large = False  # for its record
        self._tokens_per_event = tokens_per_event
        self._splitter = EventSplitter()
        self._events = EventCount()
        self._delivered = bytearray()
        self._reading: Reading | None = None  # by the engine it was sent to

    @property
    def delivered(self) -> bytes:
        """The events sent to the caller so far, kept only for a record."""
        return bytes(self._delivered)

    @property
    def tokens(self) -> int:
        """The tokens sent to the caller; a partial event counts in full."""
        return self._events.events * self._tokens_per_event

    def outgoing(self) -> Outgoing:
        """Returns the request for the next engine."""
        request = self.call.request
        return Outgoing(
            request,
            request.body,
            resume_after=self._splitter.last_event_id,
            account=self.call.account_name,
            context=self.chain.text,
        )

    def choose(self, selection: Selection) -> Replica | None:
        """Returns the engine to send the turn to."""
        fleet = selection.fleet
        size_bytes = len(self.chain.text) + len(self.call.request.body)
        way = selection.find_way(size_bytes, UNITS_PER_TURN)
        candidates = way.narrow(selection.candidates(), self.chain.endpoint_id)
        parts = self.call.info.parts
        for replica in candidates:
            if replica.endpoint_id == self.chain.endpoint_id:
                fleet.loads.at(replica).add_cached_parts(parts)
        terms = Terms(
            fleet.data_centre,
            asyncio.get_running_loop().time(),
            fleet.suspects.risk_of(self.call.keys, selection.broken),
            way.cost_ms,
        )
        return choose_engine(candidates, fleet.loads, parts, terms)

    def new_answer(self, fleet: Fleet, replica: Replica) -> StreamAnswer:
        """Returns a sink that forwards the events to the caller.

        The caller's framing is that of the first engine. Where it promises an
        end, an engine that continues the stream has to prove its own.
        """
        parts = self.call.info.parts
        conn = self.call.conn
        self._splitter.discard_partial()
        load = fleet.loads.at(replica)
        self._reading = Reading(
            load.uncached_tokens(parts),
            now(),
            has_room=load.total < replica.slots,
        )

        def on_start(answer: EndpointAnswer, framing: Framing) -> None:  # noqa: WPS430
            fleet.loads.record_read(replica, parts)
            self._begin(fleet, answer, framing)

        return StreamAnswer(
            on_start,
            self._forward,
            CallerPassage(fleet, self.call, self.held),
            needs_proof=conn.has_head and conn.has_framing,
        )

    def record_reading(
        self, fleet: Fleet, replica: Replica, timed: TimedEvents
    ) -> None:
        """Records how long an engine took to read the prompt."""
        if self._reading is not None and timed.first_s is not None:
            speed = fleet.loads.reading[replica.service]
            speed.add(self._reading, timed.first_s)

    def _begin(
        self, fleet: Fleet, answer: EndpointAnswer, framing: Framing
    ) -> None:
        conn = self.call.conn
        if conn.has_head:
            return
        self.call.progress.first_event_ms = round(self.call.age_ms(), 1)
        headers = fleet.dialect.response_headers(answer.headers)
        conn.begin_stream(
            answer.status,
            headers,
            has_framing=framing is not Framing.NONE,
        )

    def _forward(self, part: bytes) -> None:
        if self.call.route.is_resumable:
            part = self._split(part)
        if part:
            self._events.feed(part)
            self._keep(part)
            self.call.conn.write_part(part)

    def _split(self, part: bytes) -> bytes:
        try:
            return self._splitter.feed(part)
        except EventTooLargeError as exc:
            self._log_too_large('an event does not end')
            raise AnswerTooLargeError from exc

    def _keep(self, part: bytes) -> None:
        """Keeps a part for the turn's record.

        Raises:
            AnswerTooLargeError: The record would be too large.
        """
        if not self.call.route.keeps_turns:
            return
        if len(self._delivered) + len(part) > RECORD_BYTES:
            self.is_too_large = True
            self._log_too_large('too large for its record')
            raise AnswerTooLargeError
        self.held.add(len(part))
        self._delivered += part

    def _log_too_large(self, reason: str) -> None:
        log.warning(
            'gateway: turn given up',
            request_id=self.call.info.request_id,
            reason=reason,
        )
