"""Cost model for running a job on an engine."""

from typing import NamedTuple

from cactusledge.routing.policy import PolicySettings

LOAD_COST_S = 0.5  # added latency of a call on a full batch
PREFILL_SLOWDOWN = 4.0  # lost by a full batch per second of prefill
KV_OCCUPANCY_COST_S = 0.5  # of caches that a new program may evict


class Candidate(NamedTuple):
    """Cost factors of one engine for one job."""

    engine: str
    free: bool  # the engine can batch the job immediately
    wait_s: float  # until a slot is free
    uncached_prefill_s: float  # prefill of the prefix that is not cached
    load: float  # fraction of the batch in use
    kv_occupancy: float  # fraction of the KV memory used by running programs
    slowness_penalty_s: float  # added latency because other engines are faster


class Choice(NamedTuple):
    """The cheapest engine and whether it can accept the job now."""

    engine: str
    free: bool
    uncached_prefill_s: float


def cost_s(
    candidate: Candidate, settings: PolicySettings, *, new_program: bool
) -> float:
    """Returns the cost of a candidate in seconds.

    A prefill also delays all other sequences of the batch, so its cost grows
    with the load of the engine.
    """
    recompute_s = candidate.uncached_prefill_s * (
        1 + PREFILL_SLOWDOWN * candidate.load
    )
    balance_s = LOAD_COST_S * candidate.load
    if new_program:
        balance_s += KV_OCCUPANCY_COST_S * candidate.kv_occupancy
    waiting_s = candidate.wait_s + candidate.slowness_penalty_s
    return waiting_s + settings.cache_weight * recompute_s + balance_s


def choose(
    candidates: list[Candidate],
    settings: PolicySettings,
    *,
    new_program: bool,
) -> Choice:
    """Returns the cheapest engine, even if the job must wait for it.

    Args:
        candidates: The engines that may run the job, at least one.
        settings: Weights of the costs.
        new_program: Whether the job is the first turn of its program.
    """
    free = [candidate for candidate in candidates if candidate.free]
    if free and not settings.sticky:
        candidates = free
    best = min(
        candidates,
        key=lambda candidate: cost_s(
            candidate, settings, new_program=new_program
        ),
    )
    return Choice(best.engine, best.free, best.uncached_prefill_s)
