"""Chooses the endpoint of a request; pure functions over known loads."""

import random
import statistics
from collections.abc import Collection, Sequence

from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import PromptPart, Replica

PREFILL_TOKENS_PER_MS = 160.0  # prompt tokens that an engine reads
PREFILL_DELAY_SHARE = 0.5  # of the requests on an engine that wait for a chunk
ERROR_COST_MS = 2000.0  # what an error of the endpoint costs the caller
SLOT_TURNOVER_MS = 350.0  # until a full engine frees all of its slots once
CONTENTION_MS = 30.0  # added to a turn by an engine that is nearly full
UNITS_PER_TURN = 18  # units of work of a usual turn
CROSS_DC_COST_MS = (
    150.0  # another data centre: delay, and traffic that is paid for
)
CROSS_DC_LATENCY_SHARE = (
    0.3  # the same for a plain service, as a share of its latency
)
JITTER_MS = 3.0  # spreads equal costs


def choose_engine(
    candidates: Sequence[Replica],
    loads: Loads,
    parts: Sequence[PromptPart],
    local_data_centre: str,
    now_s: float,
) -> Replica | None:
    """Returns the engine that is expected to end a turn first."""
    median_ms = median_latency_ms(candidates, loads)

    def cost_ms(replica: Replica) -> float:  # noqa: WPS430
        load = loads.at(replica)
        return (
            prefill_ms(load.uncached_tokens(parts), load.total)
            + queueing_ms(load.total, replica.slots)
            + UNITS_PER_TURN * load.excess_latency_ms(median_ms, now_s)
            + ERROR_COST_MS * load.error_share(now_s)
            + CROSS_DC_COST_MS * (replica.data_centre != local_data_centre)
            + JITTER_MS * random.random()
        )

    return min(candidates, key=cost_ms, default=None)


def choose_service(
    candidates: Sequence[Replica],
    loads: Loads,
    local_data_centre: str,
    now_s: float,
) -> Replica | None:
    """Returns the replica of a plain service expected to answer first."""

    def cost_ms(replica: Replica) -> float:  # noqa: WPS430
        load = loads.of(replica.endpoint_id)
        extra_share = CROSS_DC_LATENCY_SHARE * (
            replica.data_centre != local_data_centre
        )
        queue_share = load.total / max(1, replica.slots)
        busy_ms = load.latency_ms * (1 + extra_share + queue_share)
        return (
            busy_ms + ERROR_COST_MS * load.error_share(now_s) + random.random()
        )

    return min(candidates, key=cost_ms, default=None)


def median_latency_ms(candidates: Sequence[Replica], loads: Loads) -> float:
    """Returns the median latency of a unit of work."""
    latencies = [
        loads.of(replica.endpoint_id).latency_ms for replica in candidates
    ]
    return statistics.median(latencies) if latencies else 0


def prefill_ms(tokens: int, in_flight: int) -> float:
    """Returns what reading a prompt costs all requests on an engine.

    An engine reads a prompt in chunks between the steps of the others, so
    that each of them waits as well.
    """
    return (
        tokens / PREFILL_TOKENS_PER_MS * (1 + PREFILL_DELAY_SHARE * in_flight)
    )


def queueing_ms(in_flight: int, slots: int) -> float:
    """Returns how much longer a turn takes behind those under way."""
    if in_flight >= slots:
        return (
            CONTENTION_MS + SLOT_TURNOVER_MS * (in_flight - slots + 1) / slots
        )
    return CONTENTION_MS * in_flight / slots


def healthy(
    replicas: Sequence[Replica],
    loads: Loads,
    tried: Collection[str],
    now_s: float,
) -> Sequence[Replica]:
    """Returns those not tried yet, without ejected ones if others are left."""
    untried = [
        replica for replica in replicas if replica.endpoint_id not in tried
    ]
    not_ejected = [
        replica
        for replica in untried
        if loads.of(replica.endpoint_id).ejected_until_s <= now_s
    ]
    return not_ejected or untried
