"""Updates of a group's state other than the assignment of jobs."""

from cactusledge.routing import admission, retention
from cactusledge.routing.assignment import release_cache
from cactusledge.routing.ejection import FAILURE_SLOWNESS
from cactusledge.routing.engines import EngineState, Running
from cactusledge.routing.estimates import unloaded_latency_s
from cactusledge.routing.group_state import GroupState
from cactusledge.routing.types import (
    Effect,
    Job,
    JobResult,
    Refusal,
    RefusalReason,
)

MIN_UNLOADED_LATENCY_S = 0.001


def new_program_wait_s(state: GroupState, now: float) -> float:
    """Returns the expected wait of a new program."""
    return state.start_intervals.wait_s(state.queue.new_programs(), now)


def find_refusal(state: GroupState, job: Job, now: float) -> Refusal | None:
    """Returns the refusal of a job, or None if the job may be queued."""
    over_share = state.shares.over_share(state.queue.accounts() | {job.account})
    ahead = state.queue.new_programs_ahead(job.account, over_share)
    wait_s = state.start_intervals.wait_s(ahead, now)
    retry_s = admission.retry_after_s(job, wait_s, state.settings)
    if job.deadline_s <= now:
        return Refusal(job.job_id, 0, RefusalReason.DEADLINE)
    if not state.usable(now):
        return Refusal(job.job_id, retry_s, RefusalReason.NO_ENGINE)
    if not _may_retry(state, job):
        return Refusal(job.job_id, retry_s, RefusalReason.RETRY_BUDGET)
    if job.turn > 1 or not state.settings.refuse:
        return None
    return admission.refuse_new(job, wait_s, now, state.settings)


def end_grant(state: GroupState, job_id: str) -> Running | None:
    """Removes a granted job from its engine; returns it, or None."""
    name = state.granted.pop(job_id, None)
    if name is None:
        return None
    engine = state.engines[name]
    running = engine.running[job_id]
    engine.stop(job_id)
    state.drop_if_idle(engine)
    return running


def record_result(
    state: GroupState, running: Running, result: JobResult, now: float
) -> None:
    """Records the size, latency and success of a finished job."""
    engine = state.engines.get(running.engine)
    if engine is None:
        return
    slowness = FAILURE_SLOWNESS
    engine.failures += 1
    if result.ok:
        engine.failures = 0
        slowness = _slowness(engine, result)
        state.estimates.record_usage(result.usage)
        _correct_cache(state, running, result)
    state.ejector.observe(running.engine, slowness, now)


def expire_grants(
    state: GroupState, engine: EngineState, before_s: float
) -> None:
    """Ends the grants that were given before `before_s`."""
    for running in list(engine.running.values()):
        if running.granted_s < before_s:
            end_grant(state, running.job.job_id)


def release_paused(state: GroupState, engine: str, now: float) -> list[Effect]:
    """Releases caches of paused programs if an engine is short of memory."""
    if engine not in state.engines:
        return []
    kv_tokens = state.engines[engine].view.limits.kv_tokens
    effects: list[Effect] = []
    for program in retention.select_victims(
        state.programs, engine, kv_tokens, now, state.settings
    ):
        state.programs.put(program._replace(cache_kept=False))
        effects.extend(release_cache(state, program))
    return effects


def end_program(state: GroupState, program_id: str) -> list[Effect]:
    """Removes an ended program and releases its cache."""
    program = state.programs.remove(program_id)
    if program is None:
        return []
    state.estimates.record_program(program.tokens)
    return release_cache(state, program) if program.cache_kept else []


def _may_retry(state: GroupState, job: Job) -> bool:
    if not job.retry:
        state.retries.deposit()
        return True
    return not state.settings.retry_budget or state.retries.withdraw()


def _slowness(engine: EngineState, result: JobResult) -> float:
    usage = result.usage
    uncached_tokens = usage.prompt_tokens - usage.cached_tokens
    limits = engine.view.limits
    unloaded_s = unloaded_latency_s(
        uncached_tokens, usage.output_tokens, limits
    )
    return result.latency_s / max(unloaded_s, MIN_UNLOADED_LATENCY_S)


def _correct_cache(
    state: GroupState, running: Running, result: JobResult
) -> None:
    if state.settings.learn_usage:
        state.cache.correct_estimate(
            running.engine, running.cached_tokens, result.usage.cached_tokens
        )
