"""Access to programs that another instance drives."""

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from itertools import chain
from typing import Any

import msgspec

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Answer, Outcome
from cactusledge.peers import messages as peer
from cactusledge.peers.client import PeerClient
from cactusledge.peers.errors import PeerAnswerLostError, PeerUnreachableError
from cactusledge.programs.calls.stream import CallStream, TextChunk
from cactusledge.programs.errors import NoDriverError, no_such_program_error
from cactusledge.programs.views import (
    CallArgs,
    HistoryEntry,
    OpenArgs,
    ProgramView,
)
from cactusledge.telemetry.logs import get_logger

POLL_WAIT_MS = 1000
MAX_POLL_FAILURES = 3
FOLLOW_LIMIT_S = 600.0
MAX_HISTORY_CALLS = 1_000_000
RETRY_AFTER_S = 1.0

log = get_logger('remote')


class PeerPrograms:
    """Forwards requests to the owner of a log over its peer service."""

    def __init__(
        self,
        client: PeerClient,
        sender: str,
        forwarding_workers: Executor,
        repeat_call: Callable[[CallArgs], CallStream],
    ) -> None:
        """Creates a client; no request is sent yet.

        Args:
            client: Client for the owner.
            sender: Name of this instance.
            forwarding_workers: Thread pool for following forwarded calls.
            repeat_call: Makes a call again at the current owner of its log.
        """
        self._client = client
        self._sender = sender
        self._forwarding_workers = forwarding_workers
        self._repeat_call = repeat_call

    def open_program(self, program_id: str, args: OpenArgs) -> ProgramView:
        """Opens a program at the owner."""
        request = peer.OpenRequest(program_id, msgspec.json.encode(args))
        reply = self._send(lambda: self._client.open_program(request))
        return msgspec.json.decode(reply.document, type=ProgramView)

    def call(self, args: CallArgs) -> CallStream:
        """Forwards a call to the owner; a thread copies its events."""
        forwarded = peer.ForwardedCall(
            call_id=f'{args.program_id}:{args.seq}:{args.key}',
            program_id=args.program_id,
            seq=args.seq,
            sender=self._sender,
            deadline_s=FOLLOW_LIMIT_S,
            document=msgspec.json.encode(args),
            headers={'traceparent': args.traceparent},
        )
        handle = self._send(lambda: self._client.forward_call(forwarded))
        stream = CallStream()
        self._forwarding_workers.submit(
            self._follow, args, handle.call_id, stream
        )
        return stream

    def view(self, account: str, program_id: str) -> ProgramView:
        """Returns a program's state from the owner."""
        request = peer.HistoryRequest(program_id, limit=0)
        return self._read(account, request)[0]

    def history(
        self,
        account: str,
        program_id: str,
    ) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls from the owner."""
        request = peer.HistoryRequest(program_id, limit=MAX_HISTORY_CALLS)
        return self._read(account, request)[1]

    def end_program(
        self,
        account: str,
        program_id: str,
        reason: str,
    ) -> ProgramView:
        """Ends a program at the owner if it belongs to the account."""
        self.view(account, program_id)
        request = peer.EndRequest(program_id, reason)
        reply = self._send(lambda: self._client.end_program(request))
        return msgspec.json.decode(reply.document, type=ProgramView)

    def _read(
        self,
        account: str,
        request: peer.HistoryRequest,
    ) -> tuple[ProgramView, tuple[HistoryEntry, ...]]:
        reply = self._send(lambda: self._client.read_history(request))
        view, entries = msgspec.json.decode(
            reply.document,
            type=tuple[ProgramView, tuple[HistoryEntry, ...]],
        )
        if view.account != account:
            raise no_such_program_error(request.program_id)
        return view, entries

    def _send(self, send: Callable[[], Any]) -> Any:
        """Sends a request; safe to repeat because it names its program.

        Raises:
            NoDriverError: The peer is unreachable, its answer was lost, or
                it no longer drives the program.
        """
        try:
            return send()
        except (PeerUnreachableError, PeerAnswerLostError) as exc:
            raise _owner_unavailable_error(exc) from exc
        except CactusledgeError as exc:
            if exc.code is ErrorCode.PEER_UNREACHABLE:
                raise _owner_unavailable_error(exc) from exc
            raise

    def _follow(self, args: CallArgs, call_id: str, stream: CallStream) -> None:
        """Copies a forwarded call's events to the stream.

        Repeats the call at its current owner if the peer no longer knows it
        or `MAX_POLL_FAILURES` polls fail in a row.
        """
        offset = 0
        failures = 0
        deadline_s = time.monotonic() + FOLLOW_LIMIT_S
        while not stream.finished and time.monotonic() < deadline_s:
            try:
                batch = self._client.poll_call(call_id, offset, POLL_WAIT_MS)
            except CactusledgeError as exc:
                failures += 1
                if _is_unknown_call(exc) or failures >= MAX_POLL_FAILURES:
                    self._retry_at_owner(args, stream, exc)
                    return
                continue
            failures = 0
            offset = batch.next_offset
            for event in batch.events:
                _copy_event(event, stream)

    def _retry_at_owner(
        self,
        args: CallArgs,
        stream: CallStream,
        reason: CactusledgeError,
    ) -> None:
        """Repeats the call; its current owner joins, answers or refuses it."""
        log.info(
            'Repeating a forwarded call at its current owner.',
            reason=reason.message,
        )
        stream.restart()
        try:
            repeated = self._repeat_call(args)
        except CactusledgeError as exc:
            stream.finish(_unknown_outcome(args, exc))
            return
        deadline_s = time.monotonic() + FOLLOW_LIMIT_S
        for event in chain.from_iterable(repeated.follow(deadline_s)):
            if isinstance(event, Answer):
                stream.finish(event)
            else:
                stream.put_text(event.text)


def encode_event(offset: int, event: TextChunk | Answer) -> peer.CallEvent:
    """Returns the peer message for an event of a call."""
    if isinstance(event, Answer):
        return peer.CallEvent(offset, answer=msgspec.json.encode(event))
    text = None if event.restart else event.text
    return peer.CallEvent(offset, text=text)


def _copy_event(event: peer.CallEvent, stream: CallStream) -> None:
    if event.answer:
        stream.finish(msgspec.json.decode(event.answer, type=Answer))
    elif event.text is None:
        stream.restart()
    else:
        stream.put_text(event.text)


def _is_unknown_call(exc: CactusledgeError) -> bool:
    """Returns whether the peer no longer knows the call."""
    return exc.code is ErrorCode.NOT_FOUND


def _owner_unavailable_error(exc: CactusledgeError) -> NoDriverError:
    return NoDriverError(
        f'The instance that drives the program is unavailable: {exc.message}',
        remedy='Repeat the request with the same key.',
        retry_after_s=RETRY_AFTER_S,
    )


def _unknown_outcome(args: CallArgs, exc: CactusledgeError) -> Answer:
    """Returns the final answer when repeating a forwarded call failed.

    The first driver may have sent the call, so its outcome is UNKNOWN.
    """
    body: Mapping[str, Any] = {'message': exc.message}
    return Answer(
        program_id=args.program_id,
        seq=args.seq,
        outcome=Outcome.UNKNOWN,
        status=0,
        body=body,
        spent=0,
        code=str(exc.code),
        remedy=exc.remedy,
        retry_after_s=exc.retry_after_s,
    )
