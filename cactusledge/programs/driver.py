"""Actor that orders, records and budgets the calls of one log's programs."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import pykka

from cactusledge.programs import messages as msg
from cactusledge.programs.calls.launch import Launcher, PreparedCall
from cactusledge.programs.calls.spec import SpecInput, build_spec
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.calls.tasks import DriverContext
from cactusledge.programs.errors import StoppingError, no_such_program_error
from cactusledge.programs.ledger import Ledger
from cactusledge.programs.opening import check_opening, opened_record
from cactusledge.programs.program_cleanup import ProgramCleanup
from cactusledge.programs.views import (
    HistoryEntry,
    ProgramView,
    history_of,
    view_of,
)
from cactusledge.protocol import calls as protocol
from cactusledge.protocol.state import ProgramState


class LogDriver(pykka.ThreadingActor):
    """Owns the state of a log's programs; never blocks."""

    use_daemon_thread = True

    def __init__(
        self,
        ctx: DriverContext,
        programs: Mapping[str, ProgramState],
    ) -> None:
        """Starts from the programs replayed from the log."""
        super().__init__()
        self._ctx = ctx
        self._ledger = Ledger(ctx.sink, programs)
        self._launcher = Launcher(ctx, self._ledger, self.actor_ref)
        self._cleanup = ProgramCleanup(ctx, self._ledger, self.actor_ref)

    def on_start(self) -> None:
        """Settles calls of the former owner and resends idempotent ones."""
        for state in tuple(self._ledger.states()):
            self._ledger.commit(protocol.takeover_records(state))
            self._cleanup.record_use(state.program_id)
            self._launcher.resume(self._ledger.state(state.program_id))

    def on_receive(self, message: Any) -> Any:
        """Dispatches a message to its handler."""
        return _HANDLERS[type(message)](self, message)

    def open_program(self, message: msg.Open) -> msg.Recorded:
        """Opens the program unless it is already open."""
        if self._ledger.find(message.program_id) is not None:
            state = self._program_of_account(
                message.args.account, message.program_id
            )
            return msg.Recorded(view_of(state), self._ledger.last_commit)
        self._launcher.require_accepting()
        program = check_opening(
            message.args,
            self._ctx.config(),
            self._ledger.states(),
        )
        opened = opened_record(message, program, self._ctx.now_s())
        durable = self._ledger.open(opened)
        self._cleanup.record_use(message.program_id)
        state = self._ledger.state(message.program_id)
        return msg.Recorded(view_of(state), durable)

    def start_call(self, message: msg.Call) -> CallStream:
        """Starts a call, joins the running one or returns the stored answer."""
        args = message.args
        state = self._program_of_account(args.account, args.program_id)
        config = self._ctx.config()
        program = config.program(state.definition)
        spec = build_spec(SpecInput(args, state, program, config))
        decision = protocol.decide_call(state, spec, self._ctx.now_s())
        self._cleanup.record_use(args.program_id)
        prepared = PreparedCall(spec, program, args.traceparent)
        return self._launcher.apply_decision(decision, state, prepared)

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
        self._launcher.remove(message.program_id)
        self._cleanup.record_use(message.program_id)
        answer = message.answer._replace(spent=record.spent)
        return msg.Recorded(answer, durable)

    def view(self, message: msg.View) -> ProgramView:
        """Returns a program's state."""
        return view_of(
            self._program_of_account(message.account, message.program_id)
        )

    def history(self, message: msg.History) -> tuple[HistoryEntry, ...]:
        """Returns a program's calls."""
        return history_of(
            self._program_of_account(message.account, message.program_id)
        )

    def end(self, message: msg.End) -> msg.Recorded:
        """Ends a program."""
        state = self._program_of_account(message.account, message.program_id)
        if state.running is not None:
            raise StoppingError(
                f'Call {state.running.seq} is still running.',
                remedy='End the program after the call has been answered.',
                retry_after_s=1,
            )
        durable = self._cleanup.end(state, message.reason)
        ended = self._ledger.state(message.program_id)
        return msg.Recorded(view_of(ended), durable)

    def handle_released(self, message: msg.Released) -> None:
        """Handles the result of a cache release at an engine."""
        self._cleanup.handle_released(message)

    def tick(self, message: msg.Tick) -> None:
        """Checks the limits of the programs."""
        self._cleanup.tick()

    def drain(self, message: msg.Drain) -> int:
        """Stops accepting calls; returns the number still running."""
        self._launcher.draining = True
        return self._launcher.running

    def _program_of_account(
        self, account: str | None, program_id: str
    ) -> ProgramState:
        state = self._ledger.find(program_id)
        if state is None or account not in {None, state.account}:
            raise no_such_program_error(program_id)
        return state


_HANDLERS: Mapping[
    type[Any],
    Callable[[LogDriver, Any], Any],
] = MappingProxyType({
    msg.Open: LogDriver.open_program,
    msg.Call: LogDriver.start_call,
    msg.Finish: LogDriver.finish,
    msg.View: LogDriver.view,
    msg.History: LogDriver.history,
    msg.End: LogDriver.end,
    msg.Released: LogDriver.handle_released,
    msg.Tick: LogDriver.tick,
    msg.Drain: LogDriver.drain,
})
