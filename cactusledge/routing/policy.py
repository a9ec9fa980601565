"""Settings of the routing policy."""

from collections.abc import Mapping
from typing import NamedTuple


class PolicySettings(NamedTuple):
    """Weights, bounds and switches of the decisions.

    `cache_weight` is the price of a second of recomputed prefill against a
    second of waiting: 1 weighs the latency alone, more saves engine work.
    """

    group_size: int = 8  # engines
    cache_weight: float = 1.0
    batch_share: float = 1.0  # of the batch that is filled
    memory_share: float = 0.95  # of the KV memory that sent jobs may need
    resident_share: float = 0.9  # of the KV memory for live programs
    starvation_s: float = 15.0  # a job that waited longer goes first
    max_new_wait_s: float = 4.0  # expected wait at which programs are refused
    latest_start_share: float = (
        0.25  # of a program's time, until its first turn
    )
    retry_spread: float = 1.0  # width of the come-back times, in their minimum
    min_retry_after_s: float = 1.0
    share_half_life_s: float = 30.0
    retry_ratio: float = 0.1  # retries per first try
    retry_burst: float = 2.0  # retries kept in reserve, per slot
    breaker_failures: int = 3  # in a row, from which an engine is only probed
    max_pause_s: float = 60.0  # longest pause a cache is kept for
    max_pause_under_pressure_s: float = 10.0  # the same while memory is short
    pressure_share: float = 0.9  # of the KV memory; above it, memory is short
    ejection_factor: float = 2.5  # slowness against the group's median
    ejection_samples: int = 5
    ejection_s: float = 10.0
    max_ejection_s: float = 120.0
    max_grant_age_s: float = 600.0  # longest life of an unfinished grant
    idle_grant_timeout_s: float = (
        10.0  # age from which an idle report ends a grant
    )
    long_prefill_s: float = 0.5  # from which a prefill waits for its turn
    hold_prefills: bool = True
    bound_resident: bool = True
    sticky: bool = True
    order_by_program: bool = True
    later_turns_first: bool = True
    shares: bool = True
    refuse: bool = True
    retain: bool = True
    release: bool = True
    eject: bool = True
    breaker: bool = True
    retry_budget: bool = True
    learn_usage: bool = True
    learn_events: bool = True


class GroupPolicy(NamedTuple):
    """What the published definitions say of a group."""

    settings: PolicySettings
    shares: Mapping[str, float]  # weights of the accounts, 1 if not named


CACHE_FIRST_WEIGHT = 2.0

LATENCY_FIRST = PolicySettings()
CACHE_FIRST = PolicySettings(cache_weight=CACHE_FIRST_WEIGHT)
