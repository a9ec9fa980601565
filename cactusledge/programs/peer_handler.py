"""What this instance answers to its peers."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec
from opentelemetry.trace import SpanKind

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.peers import messages as peer
from cactusledge.programs.call_stream import CallStream
from cactusledge.programs.forwarded_calls import ForwardedCalls
from cactusledge.programs.grants import GrantManager
from cactusledge.programs.held import HeldStore
from cactusledge.programs.ids import log_of
from cactusledge.programs.local_programs import LocalPrograms
from cactusledge.programs.program_events import handle_event
from cactusledge.programs.views import CallArgs, HistoryEntry, OpenArgs
from cactusledge.routing.client import DispatcherClient
from cactusledge.settings.follower import ConfigFollower
from cactusledge.telemetry.traces import Traces


class NoRoomError(CactusledgeError):
    """The records do not fit into this instance's memory."""

    code = ErrorCode.OVERLOADED


class Heartbeats(Protocol):
    """Membership as the peers' messages reach it."""

    def handle_heartbeat(self, message: peer.Heartbeat) -> peer.HeartbeatReply:
        """Merges the sender's views and returns what the sender lacks."""


class HandlerDependencies(NamedTuple):
    """The parts that answer."""

    name: str
    heartbeats: Heartbeats
    programs: LocalPrograms
    grants: GrantManager
    queues: DispatcherClient
    held: HeldStore
    config: ConfigFollower
    traces: Traces
    request_takeover: Callable[[str], None]  # called for a log without an owner


class InstancePeerHandler:
    """Answers peers from the parts of this instance."""

    def __init__(self, parts: HandlerDependencies) -> None:
        """Keeps the parts."""
        self._parts = parts
        self._calls = ForwardedCalls()

    def heartbeat(self, message: peer.Heartbeat) -> peer.HeartbeatReply:
        """Hands the heartbeat to membership."""
        return self._parts.heartbeats.handle_heartbeat(message)

    def forward_call(self, call: peer.ForwardedCall) -> peer.CallHandle:
        """Starts, joins or re-reads a call."""
        args = msgspec.json.decode(call.document, type=CallArgs)
        with self._parts.traces.span(
            'forwarded call',
            call.headers or {},
            kind=SpanKind.SERVER,
        ):
            stream = _start_call(self._parts, args)
        self._calls.put(call.call_id, stream)
        return peer.CallHandle(call.call_id, self._parts.name)

    def poll_call(
        self,
        call_id: str,
        offset: int,
        wait_ms: int,
    ) -> peer.EventBatch:
        """Returns the events of a forwarded call."""
        return self._calls.read(call_id, offset, wait_ms)

    def open_program(self, message: peer.OpenRequest) -> peer.ProgramReply:
        """Opens a program."""
        args = msgspec.json.decode(message.document, type=OpenArgs)
        _request_takeover(self._parts, message.program_id)
        view = self._parts.programs.open_program(message.program_id, args)
        document = msgspec.json.encode(view)
        return peer.ProgramReply(message.program_id, document)

    def end_program(self, message: peer.EndRequest) -> peer.ProgramReply:
        """Ends a program; the sender has checked its account."""
        programs = self._parts.programs
        found = programs.view_any_account(message.program_id)
        view = programs.end_program(
            found.account,
            message.program_id,
            message.reason,
        )
        document = msgspec.json.encode(view)
        return peer.ProgramReply(message.program_id, document)

    def read_history(self, message: peer.HistoryRequest) -> peer.HistoryReply:
        """Returns a program's state and its calls."""
        _request_takeover(self._parts, message.program_id)
        programs = self._parts.programs
        view = programs.view_any_account(message.program_id)
        entries: tuple[HistoryEntry, ...] = ()
        if message.limit:
            entries = programs.history(view.account, message.program_id)
        document = msgspec.json.encode((view, entries))
        return peer.HistoryReply(message.program_id, document, complete=True)

    def request_grant(self, message: peer.GrantRequest) -> peer.GrantReply:
        """Waits for a grant."""
        return self._parts.grants.request(message)

    def finish_grant(self, message: peer.GrantFinish) -> None:
        """Takes in how a granted job ended."""
        self._parts.grants.finish(message)

    def program_event(self, message: peer.ProgramEvent) -> None:
        """Takes note of a program's pause or end."""
        handle_event(self._parts.queues, message)

    def hold_records(self, batch: peer.HeldBatch) -> None:
        """Keeps a copy of records that wait for the platform."""
        if not self._parts.held.put(batch):
            raise NoRoomError(
                'No memory is left for held records.',
                remedy='Ask another instance to hold them.',
            )

    def held_records(self, log: str) -> tuple[peer.HeldBatch, ...]:
        """Returns the copies held for a log."""
        return self._parts.held.find(log)

    def drop_held(self, log: str, up_to: int) -> None:
        """Drops the copies up to and including a number."""
        self._parts.held.drop(log, up_to)

    def get_config(self, known_generation: int) -> peer.ConfigReply:
        """Returns the configuration if it is newer than the one known."""
        snapshot = self._parts.config.snapshot()
        generation = snapshot.configuration.generation
        if generation <= known_generation:
            return peer.ConfigReply(generation)
        return peer.ConfigReply(generation, snapshot.encoded)


def _request_takeover(parts: HandlerDependencies, program_id: str) -> None:
    """Has the log taken over soon if the sender thinks it is ours."""
    name = log_of(program_id)
    if not parts.programs.owns_log(name):
        parts.request_takeover(name)


def _start_call(parts: HandlerDependencies, args: CallArgs) -> CallStream:
    """Starts, joins or re-reads a call within the current span."""
    traceparent = parts.traces.headers().get('traceparent', '')
    _request_takeover(parts, args.program_id)
    return parts.programs.call(args._replace(traceparent=traceparent))
