"""Running programs of a group and the engines that hold their caches."""

from typing import NamedTuple


class LiveProgram(NamedTuple):
    """Scheduler state of a program, kept between its turns."""

    program_id: str
    engine: str  # holds the KV cache of the history
    tokens: int  # of the history
    prefix: tuple[int, ...]
    common_chunks: int
    last_seen_s: float
    expected_resume_s: float = 0  # expected end of a pause; 0 while a call runs
    cache_kept: bool = True  # False once the cache was released or lost


class ProgramTable:
    """Running programs and the tokens of their caches on each engine."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._programs: dict[str, LiveProgram] = {}
        self._resident: dict[str, int] = {}

    def __contains__(self, program_id: str) -> bool:
        """Returns whether the program is in the table."""
        return program_id in self._programs

    def get(self, program_id: str) -> LiveProgram | None:
        """Returns a program, or None if it is unknown."""
        return self._programs.get(program_id)

    def put(self, program: LiveProgram) -> None:
        """Adds or replaces a program."""
        self.remove(program.program_id)
        self._programs[program.program_id] = program
        self._adjust_resident(program, program.tokens)

    def remove(self, program_id: str) -> LiveProgram | None:
        """Removes and returns a program, or returns None if it is unknown."""
        program = self._programs.pop(program_id, None)
        if program is not None:
            self._adjust_resident(program, -program.tokens)
        return program

    def resident_tokens(self, engine: str) -> int:
        """Returns the tokens of the retained caches on an engine."""
        return self._resident.get(engine, 0)

    def with_cache_on(self, engine: str) -> list[LiveProgram]:
        """Returns the programs whose cache is retained on an engine."""
        return [
            program
            for program in self._programs.values()
            if program.cache_kept and program.engine == engine
        ]

    def mark_caches_lost(self, engine: str) -> None:
        """Marks all caches on an engine as lost."""
        for program in self.with_cache_on(engine):
            self.put(program._replace(cache_kept=False))

    def idle_since(self, before_s: float) -> list[LiveProgram]:
        """Returns the programs without activity since `before_s`."""
        return [
            program
            for program in self._programs.values()
            if max(program.last_seen_s, program.expected_resume_s) < before_s
        ]

    def _adjust_resident(self, program: LiveProgram, tokens: int) -> None:
        if program.cache_kept:
            resident = self._resident.get(program.engine, 0)
            self._resident[program.engine] = resident + tokens
