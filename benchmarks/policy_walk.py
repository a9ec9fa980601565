"""A program under way and its caller."""

from benchmarks.fake_engines import FakeCall
from benchmarks.workloads import Program, Turn
from cactusledge.routing.types import Job

MAX_OUTPUT_TOKENS = 256


class Walk:
    """Where a program has got to."""

    def __init__(self, program: Program) -> None:
        """Starts before the first turn."""
        self.program = program
        self.failures = 0
        self.job_id = ''
        self.engine = ''
        self.sent_s: float = 0
        self.asked_s: float = 0
        self.over = False
        self._turn = 0
        self._attempt = 0

    def is_complete(self) -> bool:
        """Returns whether the last turn was answered."""
        return self._turn == len(self.program.turns)

    def pass_turn(self) -> Turn:
        """Returns the turn that was answered; the next one is current."""
        turn = self.program.turns[self._turn]
        self._turn += 1
        self.failures = 0
        return turn

    def next_job(self, now: float) -> Job:
        """Returns the current turn as a new job."""
        self._attempt += 1
        self.job_id = f'{self.program.program_id}/{self._attempt}'
        self.engine = ''
        self.asked_s = now
        program = self.program
        prompt_tokens = program.turns[self._turn].prompt_tokens
        turns_left = max(1, sum(program.kind.turns) / 2 - self._turn)
        return Job(
            job_id=self.job_id,
            program_id=program.program_id,
            account=program.kind.account,
            model='model',
            prefix=program.chain(prompt_tokens),
            prompt_tokens=prompt_tokens,
            max_output_tokens=MAX_OUTPUT_TOKENS,
            turn=self._turn + 1,
            submitted_s=now,
            deadline_s=program.deadline_s,
            program_started_s=program.arrives_s,
            remaining_estimate_s=turns_left * program.mean_turn_s,
            retry=self.failures > 0,
            common_chunks=program.kind.common_chunks,
        )

    def call(self) -> FakeCall:
        """Returns the current turn as a request to an engine."""
        turn = self.program.turns[self._turn]
        tokens = turn.prompt_tokens
        return FakeCall(
            call_id=self.job_id,
            prefix=self.program.chain(tokens),
            full_chain=self.program.chain(tokens + turn.output_tokens),
            prompt_tokens=tokens,
            output_tokens=turn.output_tokens,
        )
