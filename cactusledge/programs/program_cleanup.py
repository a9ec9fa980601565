"""Ends programs that exceed their limits and releases ended ones' caches."""

from typing import Any

import pykka

from cactusledge.programs import messages as msg
from cactusledge.programs.calls.tasks import DriverContext, ReleaseTask
from cactusledge.programs.ledger import Ledger
from cactusledge.protocol import calls as protocol
from cactusledge.protocol.state import ProgramState

IDLE_LIMIT_REACHED = 'idle limit reached'
TIME_LIMIT_REACHED = 'time limit reached'


class ProgramCleanup:
    """Ends programs that exceed their limits; belongs to one driver."""

    def __init__(
        self,
        ctx: DriverContext,
        ledger: Ledger,
        driver: pykka.ActorRef[Any],
    ) -> None:
        """Creates the clean-up; every program counts as just used."""
        self._ctx = ctx
        self._ledger = ledger
        self._driver = driver
        self._last_used_s: dict[str, float] = {}
        self._continued: set[str] = set()
        self._releasing: set[tuple[str, str]] = set()

    def record_use(self, program_id: str) -> None:
        """Records that a caller or an endpoint has just used the program."""
        self._last_used_s[program_id] = self._ctx.now_s()
        self._continued.discard(program_id)

    def tick(self) -> None:
        """Checks every program once."""
        for state in tuple(self._ledger.states()):
            if state.ended:
                self._release_caches(state)
            elif state.running is None:
                self._check_limits(state)

    def end(self, state: ProgramState, reason: str) -> Any:
        """Ends a program; the returned future resolves when it is durable."""
        durable = self._ledger.end(state, reason, self._ctx.now_s())
        self._release_caches(self._ledger.state(state.program_id))
        return durable

    def handle_released(self, message: msg.Released) -> None:
        """Records that an engine has released a program's cache."""
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

    def _check_limits(self, state: ProgramState) -> None:
        now_s = self._ctx.now_s()
        used_s = self._last_used_s.setdefault(state.program_id, now_s)
        if now_s >= state.opened_at_s + state.time_limit_s:
            self.end(state, TIME_LIMIT_REACHED)
        elif state.idle_limit_s and now_s >= used_s + state.idle_limit_s:
            self._continue_or_end(state)

    def _continue_or_end(self, state: ProgramState) -> None:
        """Asks the program's service to continue it, or ends the program.

        The service is asked once; if the program stays idle, it is ended.
        """
        program = self._ctx.config().programs.get(state.definition)
        is_new = state.program_id not in self._continued
        if is_new and program is not None and program.continuation:
            self.record_use(state.program_id)
            self._continued.add(state.program_id)
            self._ctx.work.continue_program(state.program_id, program)
            return
        self.end(state, IDLE_LIMIT_REACHED)

    def _release_caches(self, state: ProgramState) -> None:
        for endpoint in state.releases:
            key = (state.program_id, endpoint)
            if key not in self._releasing:
                self._releasing.add(key)
                task = ReleaseTask(*key, driver=self._driver)
                self._ctx.work.release_cache(task)
