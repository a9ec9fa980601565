"""Settings of the routing policy."""

from collections.abc import Mapping
from typing import NamedTuple


class PolicySettings(NamedTuple):
    """Weights, limits and switches of the routing policy.

    `cache_weight` is the cost of one second of recomputed prefill relative to
    one second of waiting: 1 minimizes latency alone, a higher value saves
    engine work.
    """

    group_size: int = 8  # engines
    cache_weight: float = 1.0
    batch_share: float = 1.0  # of the batch slots that are used
    memory_share: float = 0.95  # of the KV memory for granted jobs
    resident_share: float = 0.9  # of the KV memory for running programs
    starvation_s: float = 15.0  # a job that waited longer is served first
    max_new_wait_s: float = 4.0  # expected; above it, programs are refused
    latest_start_share: float = 0.25  # of the time limit, until the first turn
    retry_spread: float = 1.0  # of retry delays, as a multiple of the shortest
    min_retry_after_s: float = 1.0
    share_half_life_s: float = 30.0
    retry_ratio: float = 0.1  # retries per first attempt
    retry_burst: float = 2.0  # retries that can be saved up, per slot
    breaker_failures: int = 3  # consecutive; from then on, only probes
    max_pause_s: float = 60.0  # longest one for which a cache is kept
    max_pause_under_pressure_s: float = 10.0  # while memory is short
    pressure_share: float = 0.9  # of the KV memory; above it, memory is short
    ejection_factor: float = 2.5  # slowness relative to the group's median
    ejection_samples: int = 5
    ejection_s: float = 10.0
    max_ejection_s: float = 120.0
    max_grant_age_s: float = 600.0  # of an unfinished grant
    idle_grant_timeout_s: float = 10.0  # if the engine reports no sequences
    long_prefill_s: float = 0.5  # longer ones wait for earlier prefills
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
    """Policy of a group according to the published definitions."""

    settings: PolicySettings
    shares: Mapping[str, float]  # weights of the accounts; 1 if absent


CACHE_FIRST_WEIGHT = 2.0

LATENCY_FIRST = PolicySettings()
CACHE_FIRST = PolicySettings(cache_weight=CACHE_FIRST_WEIGHT)
