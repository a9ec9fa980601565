"""Selects the caches to retain while programs wait for tools."""

from cactusledge.routing.live_programs import LiveProgram, ProgramTable
from cactusledge.routing.policy import PolicySettings


def exceeds_retention(
    program: LiveProgram, now: float, settings: PolicySettings
) -> bool:
    """Returns whether a pause is too long to retain the cache."""
    return program.expected_resume_s - now > settings.max_pause_s


def select_victims(
    programs: ProgramTable,
    engine: str,
    kv_tokens: int,
    now: float,
    settings: PolicySettings,
) -> list[LiveProgram]:
    """Returns the paused programs whose caches should be released.

    While the retained caches of an engine exceed their share of its memory,
    the cache of the program expected to resume last is released first.
    """
    excess = programs.resident_tokens(engine)
    excess -= round(kv_tokens * settings.pressure_share)
    if excess <= 0:
        return []
    paused = [
        program
        for program in programs.with_cache_on(engine)
        if program.expected_resume_s - now > settings.max_pause_under_pressure_s
    ]
    paused.sort(key=lambda program: program.expected_resume_s, reverse=True)
    chosen = []
    for program in paused:
        if excess <= 0:
            break
        chosen.append(program)
        excess -= program.tokens
    return chosen
