"""Starts calls and keeps track of the running ones."""

import time
from typing import Any, NamedTuple

import pykka

from cactusledge.models import CallSpec
from cactusledge.programs.calls.spec import running_call_spec
from cactusledge.programs.calls.stream import CallStream, JoinedStream
from cactusledge.programs.calls.tasks import CallTask, DriverContext
from cactusledge.programs.errors import (
    PLATFORM_RETRY_S,
    MovingError,
    StoppingError,
    platform_down_error,
)
from cactusledge.programs.ledger import Ledger
from cactusledge.protocol import calls as protocol
from cactusledge.protocol.state import ProgramState
from cactusledge.settings.configuration import Program

DRAIN_RETRY_S = 2.0


class PreparedCall(NamedTuple):
    """A call with the definition and trace context needed to send it."""

    spec: CallSpec
    program: Program
    traceparent: str = ''


class Launcher:
    """Submits the calls of one driver to the worker pool."""

    def __init__(
        self,
        ctx: DriverContext,
        ledger: Ledger,
        driver: pykka.ActorRef[Any],
    ) -> None:
        """Creates a launcher without running calls."""
        self._ctx = ctx
        self._ledger = ledger
        self._driver = driver
        self._running: dict[str, CallStream] = {}
        self.draining = False

    @property
    def running(self) -> int:
        """The number of calls that are still running."""
        return len(self._running)

    def apply_decision(
        self,
        decision: protocol.Decision,
        state: ProgramState,
        prepared: PreparedCall,
    ) -> CallStream:
        """Carries out the protocol's decision on a call."""
        if isinstance(decision, protocol.Refuse):
            raise decision.error
        if isinstance(decision, protocol.Join):
            return JoinedStream(self._running[state.program_id])
        if isinstance(decision, protocol.Stored):
            stored = CallStream()
            stored.finish(decision.answer)
            return stored
        return self._start(decision, state, prepared)

    def resume(self, state: ProgramState) -> None:
        """Resends the idempotent call that the former owner left running."""
        call = state.running
        program = self._ctx.config().programs.get(state.definition)
        if call is None or program is None:
            return
        before = state._replace(calls=state.calls[:-1])
        prepared = PreparedCall(
            running_call_spec(state.program_id, call), program
        )
        self._send(before, prepared, self._ledger.last_commit)

    def remove(self, program_id: str) -> None:
        """Removes a program's call after it has ended."""
        self._running.pop(program_id, None)

    def require_accepting(self) -> None:
        """Raises unless the driver accepts new work.

        Raises:
            MovingError: The driver is draining.
            StoppingError: Too many records are not yet durable.
        """
        if self.draining:
            raise MovingError(
                'The program is moving to another instance; nothing was run.',
                remedy='Repeat the request with the same key.',
                retry_after_s=DRAIN_RETRY_S,
            )
        if not self._ctx.sink.has_room():
            raise StoppingError(
                'Too many records are not yet durable; nothing was run.',
                remedy='Repeat the request later.',
                retry_after_s=PLATFORM_RETRY_S,
            )

    def _start(
        self,
        decision: protocol.Start,
        state: ProgramState,
        prepared: PreparedCall,
    ) -> CallStream:
        self.require_accepting()
        if not prepared.spec.idempotent and not self._ctx.sink.is_up():
            raise platform_down_error()
        intent = self._ledger.commit(decision.records)
        return self._send(state, prepared, intent)

    def _send(
        self,
        state: ProgramState,
        prepared: PreparedCall,
        intent: Any,
    ) -> CallStream:
        stream = CallStream()
        self._running[state.program_id] = stream
        self._ctx.work.run_call(
            CallTask(
                spec=prepared.spec,
                state=state,
                program=prepared.program,
                stream=stream,
                intent=intent,
                driver=self._driver,
                deadline_s=time.monotonic() + prepared.program.deadline_s,
                traceparent=prepared.traceparent,
            ),
        )
        return stream
