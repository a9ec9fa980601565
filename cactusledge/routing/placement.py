"""The cost of running a job on an engine."""

from typing import NamedTuple

from cactusledge.routing.policy import PolicySettings

LOAD_COST_S = 0.5  # extra time of a call on a full batch
PREFILL_SLOWDOWN = 4.0  # what a full batch loses for each second of prefill
KV_OCCUPANCY_COST_S = 0.5  # price of the caches a new program may push out


class Candidate(NamedTuple):
    """What speaks for and against one engine for one job."""

    engine: str
    free: bool  # the engine can batch the job at once
    wait_s: float  # until a slot is free
    uncached_prefill_s: float  # prefill of the prefix that is not cached
    load: float  # used part of the batch
    kv_occupancy: float  # part of the KV memory that live programs occupy
    slowness_penalty_s: (
        float  # extra time since the engine is slower than its kin
    )


class Choice(NamedTuple):
    """The cheapest engine, and whether the job can be sent now."""

    engine: str
    free: bool
    uncached_prefill_s: float


def cost_s(
    candidate: Candidate, settings: PolicySettings, *, new_program: bool
) -> float:
    """Returns the price of a candidate in seconds.

    A prefill also delays all other sequences of the batch, so its price grows
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
