"""Driver actor of one log: the order, history and budget of its programs."""

import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

import pykka

from cactusledge.models import CallSpec
from cactusledge.programs import messages as msg
from cactusledge.programs.call_spec import SpecInput, build_spec, spec_of
from cactusledge.programs.call_stream import CallStream
from cactusledge.programs.errors import (
    PLATFORM_RETRY_S,
    StoppingError,
    no_such_program,
    platform_down,
)
from cactusledge.programs.ledger import Ledger
from cactusledge.programs.opening import check_opening, opened_record
from cactusledge.programs.sink import RecordSink
from cactusledge.programs.views import ProgramView, history_of, view_of
from cactusledge.protocol import calls as protocol
from cactusledge.protocol.state import ProgramState
from cactusledge.settings.configuration import Configuration, Program

IDLE = 'idle limit reached'
TIME_OVER = 'time limit reached'
STOP_RETRY_S = 2.0


class CallTask(NamedTuple):
    """A call on its way to an endpoint, with all that sending it needs."""

    spec: CallSpec
    state: ProgramState  # before the call
    program: Program
    stream: CallStream
    intent: Any  # pykka future that resolves once the intent is durable
    driver: pykka.ActorRef[Any]
    deadline_s: float  # monotonic
    traceparent: str = ''


class ReleaseTask(NamedTuple):
    """A program's cache that an engine has to release."""

    program_id: str
    endpoint: str
    driver: pykka.ActorRef[Any]


class DriverWork(Protocol):
    """Where the driver hands its blocking work."""

    def run_call(self, task: CallTask) -> None:
        """Sends the call in a worker; it ends with a `Finish` message."""

    def release_cache(self, task: ReleaseTask) -> None:
        """Releases a cache in a worker; it ends with `Released`."""

    def continue_program(self, program_id: str, program: Program) -> None:
        """Asks the program's service to take it up."""


class DriverContext(NamedTuple):
    """What a driver works with."""

    log: str
    sink: RecordSink
    work: DriverWork
    config: Callable[[], Configuration]
    now_s: Callable[[], float]


class Running(NamedTuple):
    """A call that has not ended."""

    seq: int
    stream: CallStream


class CallParts(NamedTuple):
    """A call that was decided to start."""

    spec: CallSpec
    program: Program
    traceparent: str = ''


class LogDriver(pykka.ThreadingActor):
    """Owns the state of a log's programs; never blocks."""

    use_daemon_thread = True

    def __init__(
        self,
        ctx: DriverContext,
        programs: Mapping[str, ProgramState],
    ) -> None:
        """Takes the programs as replayed from the log."""
        super().__init__()
        self._ctx = ctx
        self._ledger = Ledger(ctx.sink, programs)
        self._running: dict[str, Running] = {}
        self._releasing: set[tuple[str, str]] = set()
        self._last_used_s: dict[str, float] = {}
        self._continued: set[str] = set()
        self._draining = False

    def on_start(self) -> None:
        """Settles what the former owner left, and sends again what may be."""
        for state in tuple(self._ledger.states()):
            self._ledger.commit(protocol.takeover_records(state))
            self._touch(state.program_id)
            self._resume(self._ledger.state(state.program_id))

    def on_receive(self, message: Any) -> Any:
        """Hands a message to its handler."""
        return _HANDLERS[type(message)](self, message)

    def open_program(self, message: msg.Open) -> msg.Recorded:
        """Opens the program unless it is there."""
        found = self._ledger.find(message.program_id)
        if found is not None:
            state = self._owned(message.args.account, message.program_id)
            return msg.Recorded(view_of(state), self._ledger.last_commit)
        self._require_taking()
        config = self._ctx.config()
        program = check_opening(message.args, config, self._ledger.states())
        opened = opened_record(message, program, self._ctx.now_s())
        durable = self._ledger.open(opened)
        self._touch(message.program_id)
        state = self._ledger.state(message.program_id)
        return msg.Recorded(view_of(state), durable)

    def start_call(self, message: msg.Call) -> CallStream:
        """Starts a call, joins the running one or gives the stored answer."""
        args = message.args
        state = self._owned(args.account, args.program_id)
        config = self._ctx.config()
        program = config.program(state.definition)
        spec = build_spec(SpecInput(args, state, program, config))
        decision = protocol.decide_call(state, spec, self._ctx.now_s())
        self._touch(args.program_id)
        self._continued.discard(args.program_id)
        return self._decided(decision, state, CallParts(spec, program, args.traceparent))

    def finish(self, message: msg.Finish) -> msg.Recorded:
        """Records a call's outcome and settles its budget."""
        state = self._ledger.state(message.program_id)
        record = protocol.outcome_record(
            state,
            message.seq,
            message.answer,
            message.endpoint,
            message.touched,
        )
        durable = self._ledger.commit((record,))
        self._running.pop(message.program_id, None)
        self._touch(message.program_id)
        answer = message.answer._replace(spent=record.spent)
        return msg.Recorded(answer, durable)

    def view(self, message: msg.View) -> ProgramView:
        """Returns a program's state."""
        return view_of(self._owned(message.account, message.program_id))

    def history(self, message: msg.History) -> Any:
        """Returns a program's calls."""
        return history_of(self._owned(message.account, message.program_id))

    def end(self, message: msg.End) -> msg.Recorded:
        """Ends a program."""
        state = self._owned(message.account, message.program_id)
        if state.running is not None:
            raise StoppingError(
                f'Call {state.running.seq} is still running.',
                remedy='End the program after the answer.',
                retry_after_s=1,
            )
        durable = self._end(state, message.reason)
        ended = self._ledger.state(message.program_id)
        return msg.Recorded(view_of(ended), durable)

    def released(self, message: msg.Released) -> None:
        """Notes that an engine holds a program's cache no longer."""
        self._releasing.discard((message.program_id, message.endpoint))
        state = self._ledger.find(message.program_id)
        if state is None or message.endpoint not in state.releases:
            return
        if message.done:
            record = protocol.release_record(
                state,
                message.endpoint,
                done=True,
            )
            self._ledger.commit((record,))

    def tick(self, message: msg.Tick) -> None:
        """Ends programs past their limits and retries cache releases."""
        for state in tuple(self._ledger.states()):
            if state.ended:
                self._release_caches(state)
            elif state.running is None:
                self._check_limits(state)

    def drain(self, message: msg.Drain) -> int:
        """Takes no further calls; returns how many are still running."""
        self._draining = True
        return len(self._running)

    def _decided(
        self,
        decision: protocol.Decision,
        state: ProgramState,
        parts: CallParts,
    ) -> CallStream:
        if isinstance(decision, protocol.Refuse):
            raise decision.error
        if isinstance(decision, protocol.Join):
            return self._running[state.program_id].stream
        stream = CallStream()
        if isinstance(decision, protocol.Stored):
            stream.finish(decision.answer)
            return stream
        self._require_taking()
        if not parts.spec.idempotent and not self._ctx.sink.is_up():
            raise platform_down()
        intent = self._ledger.commit(decision.records)
        self._send(state, parts, stream, intent)
        return stream

    def _send(
        self,
        state: ProgramState,
        parts: CallParts,
        stream: CallStream,
        intent: Any,
    ) -> None:
        self._running[state.program_id] = Running(parts.spec.seq, stream)
        task = CallTask(
            spec=parts.spec,
            state=state,
            program=parts.program,
            stream=stream,
            intent=intent,
            driver=self.actor_ref,
            deadline_s=time.monotonic() + parts.program.deadline_s,
            traceparent=parts.traceparent,
        )
        self._ctx.work.run_call(task)

    def _resume(self, state: ProgramState) -> None:
        """Sends an idempotent call again that the former owner left."""
        call = state.running
        if call is None or state.ended:
            return
        program = self._ctx.config().programs.get(state.definition)
        if program is None:
            return
        spec = spec_of(state.program_id, call)
        before = state._replace(calls=state.calls[:-1])
        parts = CallParts(spec, program)
        self._send(before, parts, CallStream(), self._ledger.last_commit)

    def _check_limits(self, state: ProgramState) -> None:
        now_s = self._ctx.now_s()
        used_s = self._last_used_s.get(state.program_id, now_s)
        if now_s >= state.opened_at_s + state.time_limit_s:
            self._end(state, TIME_OVER)
        elif state.idle_limit_s and now_s >= used_s + state.idle_limit_s:
            self._take_up_or_end(state)

    def _take_up_or_end(self, state: ProgramState) -> None:
        program = self._ctx.config().programs.get(state.definition)
        is_new = state.program_id not in self._continued
        if is_new and program is not None and program.continuation:
            self._touch(state.program_id)
            self._continued.add(state.program_id)
            self._ctx.work.continue_program(state.program_id, program)
            return
        self._end(state, IDLE)

    def _end(self, state: ProgramState, reason: str) -> Any:
        at_s = self._ctx.now_s()
        durable = self._ledger.end(state, reason, at_s)
        self._release_caches(self._ledger.state(state.program_id))
        return durable

    def _release_caches(self, state: ProgramState) -> None:
        for endpoint in state.releases:
            duty = (state.program_id, endpoint)
            if duty not in self._releasing:
                self._releasing.add(duty)
                self._ctx.work.release_cache(
                    ReleaseTask(*duty, driver=self.actor_ref),
                )

    def _owned(self, account: str, program_id: str) -> ProgramState:
        state = self._ledger.find(program_id)
        if state is None or state.account != account:
            raise no_such_program(program_id)
        return state

    def _require_taking(self) -> None:
        if self._draining:
            raise StoppingError(
                'The instance is stopping; nothing was run.',
                remedy='Repeat the request; another instance takes it.',
                retry_after_s=STOP_RETRY_S,
            )
        if not self._ctx.sink.has_room():
            raise StoppingError(
                'The journal has no room; nothing was run.',
                remedy='Repeat the request later.',
                retry_after_s=PLATFORM_RETRY_S,
            )

    def _touch(self, program_id: str) -> None:
        self._last_used_s[program_id] = self._ctx.now_s()


_HANDLERS: Mapping[type[Any], Callable[[LogDriver, Any], Any]] = {
    msg.Open: LogDriver.open_program,
    msg.Call: LogDriver.start_call,
    msg.Finish: LogDriver.finish,
    msg.View: LogDriver.view,
    msg.History: LogDriver.history,
    msg.End: LogDriver.end,
    msg.Released: LogDriver.released,
    msg.Tick: LogDriver.tick,
    msg.Drain: LogDriver.drain,
}
