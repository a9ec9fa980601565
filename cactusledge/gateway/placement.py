"""Chooses the endpoint of a request; pure functions over known loads."""

import random
import statistics
from collections.abc import Collection, Sequence

from cactusledge.gateway.loads import Loads
from cactusledge.gateway.messages import PromptPart, Replica

READ_TOKENS_PER_MS = 160.0  # prompt tokens that an engine reads
DELAYED_SHARE = 0.5  # of the requests on an engine that wait for a chunk
FAILURE_MS = 2000.0  # what an error of the endpoint costs the caller
QUEUE_MS = 350.0  # until a full engine frees all of its slots once
CROWDING_MS = 30.0  # added to a turn by an engine that is nearly full
TURN_UNITS = 18  # units of work of a usual turn
REMOTE_MS = 150.0  # another data centre: delay, and traffic that is paid for
REMOTE_SHARE = 0.3  # the same for a plain service, as a share of its latency
JITTER_MS = 3.0  # spreads equal costs


def choose_engine(
    candidates: Sequence[Replica],
    loads: Loads,
    parts: Sequence[PromptPart],
    here: str,
    now_s: float,
) -> Replica | None:
    """Returns the engine that is expected to end a turn first."""
    usual_ms = usual_latency_ms(candidates, loads)

    def cost_ms(replica: Replica) -> float:  # noqa: WPS430
        load = loads.at(replica)
        return (
            reading_ms(load.missing_tokens(parts), load.total)
            + wait_ms(load.total, replica.slots)
            + TURN_UNITS * load.excess_ms(usual_ms, now_s)
            + FAILURE_MS * load.error_share(now_s)
            + REMOTE_MS * (replica.data_centre != here)
            + JITTER_MS * random.random()
        )

    return min(candidates, key=cost_ms, default=None)


def choose_service(
    candidates: Sequence[Replica],
    loads: Loads,
    here: str,
    now_s: float,
) -> Replica | None:
    """Returns the replica of a plain service expected to answer first."""

    def cost_ms(replica: Replica) -> float:  # noqa: WPS430
        load = loads.of(replica.endpoint_id)
        remote = REMOTE_SHARE * (replica.data_centre != here)
        queued = load.total / max(1, replica.slots)
        busy_ms = load.latency_ms * (1 + remote + queued)
        return busy_ms + FAILURE_MS * load.error_share(now_s) + random.random()

    return min(candidates, key=cost_ms, default=None)


def usual_latency_ms(candidates: Sequence[Replica], loads: Loads) -> float:
    """Returns the median latency of a unit of work."""
    latencies = [
        loads.of(replica.endpoint_id).latency_ms for replica in candidates
    ]
    return statistics.median(latencies) if latencies else 0


def reading_ms(tokens: int, under_way: int) -> float:
    """Returns what reading a prompt costs all requests on an engine.

    An engine reads a prompt in chunks between the steps of the others, so
    that each of them waits as well.
    """
    return tokens / READ_TOKENS_PER_MS * (1 + DELAYED_SHARE * under_way)


def wait_ms(under_way: int, slots: int) -> float:
    """Returns how much longer a turn takes behind those under way."""
    if under_way >= slots:
        return CROWDING_MS + QUEUE_MS * (under_way - slots + 1) / slots
    return CROWDING_MS * under_way / slots


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
    sound = [
        replica
        for replica in untried
        if loads.of(replica.endpoint_id).ejected_until_s <= now_s
    ]
    return sound or untried
