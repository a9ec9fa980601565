"""Assigns the queued jobs of a group to engines."""

from collections import Counter

from cactusledge.routing import placement
from cactusledge.routing.engines import EngineState, Running, peak_tokens
from cactusledge.routing.group_state import GroupState
from cactusledge.routing.live_programs import LiveProgram
from cactusledge.routing.types import CacheRelease, Effect, Grant, Job

MAX_SCANNED_JOBS = 64  # queued jobs examined in one pass


def assign_jobs(state: GroupState, now: float) -> list[Effect]:
    """Grants the jobs that can run now; returns grants and cache releases."""
    effects: list[Effect] = []
    claimed_slots: Counter[str] = Counter()
    usable = state.usable(now)
    over_share = state.shares.over_share(state.queue.accounts())
    ordered = state.queue.ordered(now, over_share)
    for job in ordered[:MAX_SCANNED_JOBS]:
        if not any(_has_free_slot(state, engine) for engine in usable):
            break
        choice = _choose_engine(state, job, usable, claimed_slots, now)
        if choice is None:
            continue
        if choice.free:
            effects.extend(_grant(state, job, choice.engine, now))
        else:
            claimed_slots[choice.engine] += 1
    return effects


def _has_free_slot(state: GroupState, engine: EngineState) -> bool:
    slots = engine.view.limits.max_batch * state.settings.batch_share
    return len(engine.running) < slots


def _choose_engine(
    state: GroupState,
    job: Job,
    usable: list[EngineState],
    claimed_slots: Counter[str],
    now: float,
) -> placement.Choice | None:
    new_program = job.program_id not in state.programs
    if new_program:
        usable = [
            engine for engine in usable if _has_kv_room(state, job, engine)
        ]
    if not usable:
        return None
    min_slowness = min(
        state.ejector.slowness(eng.view.name, now) for eng in usable
    )
    candidates = [
        _candidate(
            state,
            job,
            engine,
            claimed_slots[engine.view.name],
            min_slowness,
            now,
        )
        for engine in usable
    ]
    return placement.choose(candidates, state.settings, new_program=new_program)


def _has_kv_room(state: GroupState, job: Job, engine: EngineState) -> bool:
    resident = state.programs.resident_tokens(engine.view.name)
    size = max(peak_tokens(job), state.estimates.program_tokens)
    bound = engine.view.limits.kv_tokens * state.settings.resident_share
    if not state.settings.bound_resident:
        return True
    return not resident or resident + size <= bound


def _candidate(
    state: GroupState,
    job: Job,
    engine: EngineState,
    claimed_slots: int,
    min_slowness: float,
    now: float,
) -> placement.Candidate:
    name = engine.view.name
    limits = engine.view.limits
    cfg = state.settings
    cached = state.cache.cached_tokens(name, job.prefix)
    expected_s = state.estimates.expected_s(job, cached, limits)
    slowness = state.ejector.slowness(name, now) / min_slowness
    uncached_prefill_s = (
        max(0, job.prompt_tokens - cached) / limits.prefill_tokens_s
    )
    free = engine.fits(job, cfg.batch_share, cfg.memory_share)
    if cfg.breaker and engine.failures >= cfg.breaker_failures:
        free = not engine.running
    wait_s = 0 if free else engine.slot_interval_s() * (claimed_slots + 1)
    wait_s += engine.prefill_wait_s(now)
    if cfg.hold_prefills and uncached_prefill_s > cfg.long_prefill_s:
        free = free and engine.prefill_wait_s(now) <= cfg.long_prefill_s
    return placement.Candidate(
        engine=name,
        free=free,
        wait_s=wait_s * slowness,
        uncached_prefill_s=uncached_prefill_s,
        load=engine.load(),
        kv_occupancy=state.programs.resident_tokens(name) / limits.kv_tokens,
        slowness_penalty_s=(slowness - 1) * expected_s,
    )


def _grant(state: GroupState, job: Job, name: str, now: float) -> list[Effect]:
    engine = state.engines[name]
    cached = state.cache.cached_tokens(name, job.prefix)
    expected_s = state.estimates.expected_s(job, cached, engine.view.limits)
    state.queue.remove(job.job_id)
    if job.turn == 1:
        waiting = state.queue.new_programs()
        state.start_intervals.record_start(now, others_wait=waiting > 0)
    uncached_tokens = max(0, job.prompt_tokens - cached)
    prefill_s = uncached_tokens / engine.view.limits.prefill_tokens_s
    engine.start(Running(job, name, now, cached, expected_s), prefill_s)
    state.granted[job.job_id] = name
    state.cache.record_prompt(name, job.prefix, now)
    state.shares.charge(job.account, expected_s)
    return [Grant(job.job_id, name), *_record_placement(state, job, name, now)]


def _record_placement(
    state: GroupState, job: Job, name: str, now: float
) -> list[Effect]:
    before = state.programs.get(job.program_id)
    state.programs.put(
        LiveProgram(
            program_id=job.program_id,
            engine=name,
            tokens=peak_tokens(job),
            prefix=job.prefix,
            common_chunks=job.common_chunks,
            last_seen_s=now,
        )
    )
    if before is None or not before.cache_kept or before.engine == name:
        return []
    return release_cache(state, before)


def release_cache(state: GroupState, program: LiveProgram) -> list[Effect]:
    """Releases the part of a program's cache that it does not share."""
    own = program.prefix[program.common_chunks :]
    state.cache.record_release(program.engine, own)
    if not state.settings.release:
        return []
    return [CacheRelease(program.engine, program.program_id)]
