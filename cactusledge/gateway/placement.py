"""Endpoint selection: cost functions over the tracked loads."""

import random
import statistics
from collections.abc import Collection, Sequence
from typing import NamedTuple

from cactusledge.gateway.engine_speeds import usual_event_ms
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.gateway.suspects import Risk

PREFILL_DELAY_SHARE = 0.5  # of an engine's requests that wait for a chunk
ERROR_COST_MS = 2000.0  # cost to the caller of an endpoint error
SLOT_TURNOVER_MS = 350.0  # for a full engine to free all of its slots once
CONTENTION_MS = 30.0  # added to a turn on a nearly full engine
UNITS_PER_TURN = 18  # units of work in a typical turn
EVENTS_PER_TURN = 8  # events in a typical turn
CROSS_DC_COST_MS = 150.0  # latency and paid traffic to another data centre
CROSS_DC_LATENCY_SHARE = 0.3  # the same for plain services, part of latency
JITTER_MS = 3.0  # random, spreads load over endpoints of equal cost


def no_risk(replica: Replica) -> float:
    """Returns no cost: the request has ended no endpoint."""
    return 0


class Terms(NamedTuple):
    """What the choice of an endpoint depends on, besides loads and prompt."""

    local_data_centre: str
    now_s: float
    risk_ms: Risk = no_risk
    cross_ms: float | None = None  # of another data centre; None: a constant


def choose_engine(
    candidates: Sequence[Replica],
    loads: Loads,
    parts: Sequence[PromptPart],
    terms: Terms,
) -> Replica | None:
    """Returns the engine with the lowest expected cost for a turn."""
    median_ms = median_latency_ms(candidates, loads)
    event_ms = usual_event_ms(loads.at(found).pace for found in candidates)
    now_s = terms.now_s
    cross_ms = CROSS_DC_COST_MS if terms.cross_ms is None else terms.cross_ms

    def cost_ms(replica: Replica) -> float:  # noqa: WPS430
        load = loads.at(replica)
        is_remote = replica.data_centre != terms.local_data_centre
        return (
            prefill_ms(
                load.uncached_tokens(parts) / tokens_per_ms(loads, replica),
                load.total,
            )
            + queueing_ms(load.total, replica.slots)
            + EVENTS_PER_TURN * load.pace.expected_ms(event_ms, now_s)
            + UNITS_PER_TURN * load.excess_latency_ms(median_ms, now_s)
            + ERROR_COST_MS * load.error_share(now_s)
            + cross_ms * is_remote
            + terms.risk_ms(replica)
            + JITTER_MS * random.random()
        )

    return min(candidates, key=cost_ms, default=None)


def choose_service(
    candidates: Sequence[Replica],
    loads: Loads,
    terms: Terms,
) -> Replica | None:
    """Returns the plain service replica with the lowest expected cost."""

    def cost_ms(replica: Replica) -> float:  # noqa: WPS430
        load = loads.of(replica.endpoint_id)
        is_remote = replica.data_centre != terms.local_data_centre
        cross_ms = terms.cross_ms
        if cross_ms is None:
            cross_ms = CROSS_DC_LATENCY_SHARE * load.latency_ms
        queue_share = load.total / max(1, replica.slots)
        return (
            load.latency_ms * (1 + queue_share)
            + cross_ms * is_remote
            + ERROR_COST_MS * load.error_share(terms.now_s)
            + terms.risk_ms(replica)
            + random.random()
        )

    return min(candidates, key=cost_ms, default=None)


def median_latency_ms(candidates: Sequence[Replica], loads: Loads) -> float:
    """Returns the candidates' median latency per unit of work."""
    latencies = [
        loads.of(replica.endpoint_id).latency_ms for replica in candidates
    ]
    return statistics.median(latencies) if latencies else 0


def tokens_per_ms(loads: Loads, replica: Replica) -> float:
    """Returns how fast an engine is expected to read prompts."""
    return loads.reading[replica.service].tokens_per_ms


def prefill_ms(read_ms: float, in_flight: int) -> float:
    """Returns the time that reading a prompt costs all requests on an engine.

    An engine reads a prompt in chunks between the decoding steps of its other
    requests, so those requests are delayed too.
    """
    return read_ms * (1 + PREFILL_DELAY_SHARE * in_flight)


def queueing_ms(in_flight: int, slots: int) -> float:
    """Returns the delay of a turn caused by the requests in progress."""
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
    """Returns the untried endpoints, ejected ones only if no other is left."""
    untried = [
        replica for replica in replicas if replica.endpoint_id not in tried
    ]
    not_ejected = [
        replica
        for replica in untried
        if loads.of(replica.endpoint_id).ejected_until_s <= now_s
    ]
    return not_ejected or untried
