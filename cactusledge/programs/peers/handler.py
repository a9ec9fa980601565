"""Handler of the requests that peers send to this instance."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec
from opentelemetry.trace import SpanKind

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.peers import messages as peer
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.engines.events import handle_event
from cactusledge.programs.engines.grants import GrantManager
from cactusledge.programs.ids import log_of
from cactusledge.programs.journal.held import HeldStore
from cactusledge.programs.local_programs import LocalPrograms
from cactusledge.programs.peers.forwarded_calls import ForwardedCalls
from cactusledge.programs.views import CallArgs, HistoryEntry, OpenArgs
from cactusledge.routing.client import DispatcherClient
from cactusledge.settings.follower import ConfigFollower
from cactusledge.telemetry.traces import Traces


class NoRoomError(CactusledgeError):
    """The records exceed the memory for copies held for other instances."""

    code = ErrorCode.OVERLOADED


class Heartbeats(Protocol):
    """Interface of membership for heartbeats from peers."""

    def handle_heartbeat(self, message: peer.Heartbeat) -> peer.HeartbeatReply:
        """Merges the sender's views and returns what the sender lacks."""


class HandlerDependencies(NamedTuple):
    """Dependencies of `InstancePeerHandler`."""

    name: str
    heartbeats: Heartbeats
    programs: LocalPrograms
    grants: GrantManager
    queues: DispatcherClient
    held: HeldStore
    config: ConfigFollower
    traces: Traces
    request_takeover: Callable[[str], None]  # for a log not owned here


class InstancePeerHandler:
    """Dispatches peer requests to the components of this instance."""

    def __init__(self, parts: HandlerDependencies) -> None:
        self._parts = parts
        self._calls = ForwardedCalls()

    def heartbeat(self, message: peer.Heartbeat) -> peer.HeartbeatReply:
        """Passes a heartbeat to membership."""
        return self._parts.heartbeats.handle_heartbeat(message)

    def forward_call(self, call: peer.ForwardedCall) -> peer.CallHandle:
        """Starts a call, joins a running one or replays a finished one."""
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
        """Returns the events of a forwarded call from an offset on."""
        return self._calls.read(call_id, offset, wait_ms)

    def open_program(self, message: peer.OpenRequest) -> peer.ProgramReply:
        """Opens a program for a peer."""
        args = msgspec.json.decode(message.document, type=OpenArgs)
        _request_takeover(self._parts, message.program_id)
        view = self._parts.programs.open_program(message.program_id, args)
        document = msgspec.json.encode(view)
        return peer.ProgramReply(message.program_id, document)

    def end_program(self, message: peer.EndRequest) -> peer.ProgramReply:
        """Ends a program; the sender has already checked the account."""
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
        """Returns a program's state, and its calls if `limit` is not 0."""
        _request_takeover(self._parts, message.program_id)
        programs = self._parts.programs
        view = programs.view_any_account(message.program_id)
        entries: tuple[HistoryEntry, ...] = ()
        if message.limit:
            entries = programs.history(view.account, message.program_id)
        document = msgspec.json.encode((view, entries))
        return peer.HistoryReply(message.program_id, document, complete=True)

    def request_grant(self, message: peer.GrantRequest) -> peer.GrantReply:
        """Waits up to the request's `wait_ms` for an engine grant."""
        return self._parts.grants.request(message)

    def finish_grant(self, message: peer.GrantFinish) -> None:
        """Records the result of a granted job."""
        self._parts.grants.finish(message)

    def program_event(self, message: peer.ProgramEvent) -> None:
        """Notifies the scheduler of a program's pause or end."""
        handle_event(self._parts.queues, message)

    def hold_records(self, batch: peer.HeldBatch) -> None:
        """Stores a copy of journal records not yet written to the platform."""
        if not self._parts.held.put(batch):
            raise NoRoomError(
                'The memory limit for held records is reached.',
                remedy='Send them to another instance.',
            )

    def held_records(self, log: str) -> tuple[peer.HeldBatch, ...]:
        """Returns the copies held for a log."""
        return self._parts.held.find(log)

    def drop_held(self, log: str, up_to: int) -> None:
        """Drops a log's copies with numbers up to and including `up_to`."""
        self._parts.held.drop(log, up_to)

    def get_config(self, known_generation: int) -> peer.ConfigReply:
        """Returns the configuration if it is newer than `known_generation`."""
        snapshot = self._parts.config.snapshot()
        generation = snapshot.configuration.generation
        if generation <= known_generation:
            return peer.ConfigReply(generation)
        return peer.ConfigReply(generation, snapshot.encoded)


def _request_takeover(parts: HandlerDependencies, program_id: str) -> None:
    """Requests the takeover of the program's log if it is not owned here.

    The request shows that the sender considers this instance the owner.
    """
    name = log_of(program_id)
    if not parts.programs.owns_log(name):
        parts.request_takeover(name)


def _start_call(parts: HandlerDependencies, args: CallArgs) -> CallStream:
    """Starts, joins or replays a call within the current trace span."""
    traceparent = parts.traces.headers().get('traceparent', '')
    _request_takeover(parts, args.program_id)
    return parts.programs.call(args._replace(traceparent=traceparent))
