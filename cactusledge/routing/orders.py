"""Which models to load on which engines as the demand moves."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

SCALE_UP_LOAD = 0.85  # load of a model's engines from which one more is wanted
SCALE_DOWN_LOAD = 0.5  # load that the rest may have at most after one is taken
MIN_ORDER_INTERVAL_S = 60.0  # shortest time between two orders to one engine


class LoadedEngine(NamedTuple):
    """An engine and the models that it serves."""

    name: str
    model: str
    ordered_s: float = -math.inf  # time of the last order
    ready: bool = True  # False while it loads
    leaving: bool = False


class ModelDemand(NamedTuple):
    """Demand for one model."""

    busy_engines: float  # mean engines' worth of work
    weights_bytes: int
    min_engines: int = 1


class DesiredState(NamedTuple):
    """An order: what the engine should serve, never a step to take."""

    engine: str
    model: str
    fencing: int  # number of the orderer, given by the platform


class WeightPullLimiter:
    """Bytes that may be pulled from the weight store."""

    def __init__(
        self, bytes_s: float, burst_s: float = MIN_ORDER_INTERVAL_S
    ) -> None:
        """Starts with the bytes of the whole burst."""
        self._bytes_s = bytes_s
        self._burst_bytes = bytes_s * burst_s
        self._available_bytes = self._burst_bytes
        self._refilled_s: float = 0

    def try_acquire(self, size_bytes: int, now: float) -> bool:
        """Returns whether a pull may start now."""
        refill = (now - self._refilled_s) * self._bytes_s
        self._available_bytes = min(
            self._burst_bytes, self._available_bytes + refill
        )
        self._refilled_s = now
        if self._available_bytes <= 0 or self._available_bytes < min(
            size_bytes, self._burst_bytes
        ):
            return False
        self._available_bytes -= size_bytes
        return True


def plan_orders(
    engines: Sequence[LoadedEngine],
    demand: Mapping[str, ModelDemand],
    pull_limiter: WeightPullLimiter,
    fencing: int,
    now: float,
) -> list[DesiredState]:
    """Returns orders that move engines to the models that lack them.

    A model gets one more engine above `ADD_LOAD`, and gives one only while
    its rest stays below `DROP_LOAD`; the gap between the two, and a hold per
    engine, keep orders from going back and forth.
    """
    counts = Counter(engine.model for engine in engines if not engine.leaving)
    orders = []
    for model in _busiest_first(demand, counts):
        if not _needs_engine(model, demand, counts):
            continue
        donor = _donor(model, engines, demand, counts, now)
        if donor is None or not pull_limiter.try_acquire(
            demand[model].weights_bytes, now
        ):
            continue
        counts[donor.model] -= 1
        counts[model] += 1
        engines = [engine for engine in engines if engine is not donor]
        orders.append(DesiredState(donor.name, model, fencing))
    return orders


def may_order(
    acquired_s: float, longest_order_s: float, now: float, *, fenced: bool
) -> bool:
    """Returns whether a new orderer may send.

    An engine that ignores fencing numbers may still be carrying out an
    order of the one before, so the new orderer waits that order out.
    """
    return fenced or now >= acquired_s + longest_order_s


def _busiest_first(
    demand: Mapping[str, ModelDemand], counts: Counter[str]
) -> list[str]:
    return sorted(
        demand, key=lambda name: _load(name, demand, counts), reverse=True
    )


def _needs_engine(
    model: str, demand: Mapping[str, ModelDemand], counts: Counter[str]
) -> bool:
    too_few = counts[model] < demand[model].min_engines
    return too_few or _load(model, demand, counts) > SCALE_UP_LOAD


def _load(
    model: str, demand: Mapping[str, ModelDemand], counts: Counter[str]
) -> float:
    busy_engines = demand[model].busy_engines
    return busy_engines / counts[model] if counts[model] else math.inf


def _donor(
    model: str,
    engines: Sequence[LoadedEngine],
    demand: Mapping[str, ModelDemand],
    counts: Counter[str],
    now: float,
) -> LoadedEngine | None:
    movable = [
        engine
        for engine in engines
        if engine.model != model
        and _is_movable(engine, now)
        and _can_spare(engine.model, demand, counts)
    ]
    return min(movable, key=lambda engine: engine.ordered_s, default=None)


def _is_movable(engine: LoadedEngine, now: float) -> bool:
    available = engine.ready and not engine.leaving
    return available and now - engine.ordered_s >= MIN_ORDER_INTERVAL_S


def _can_spare(
    model: str, demand: Mapping[str, ModelDemand], counts: Counter[str]
) -> bool:
    wanted = demand.get(model, ModelDemand(0, 0, 0))
    remaining = counts[model] - 1
    if remaining < wanted.min_engines:
        return False
    return wanted.busy_engines <= SCALE_DOWN_LOAD * remaining
