"""Plans which model each engine should load as the demand changes."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

SCALE_UP_LOAD = 0.85  # load above which a model gets another engine
SCALE_DOWN_LOAD = 0.5  # maximum load of the remaining engines when one is taken
MIN_ORDER_INTERVAL_S = 60.0  # between two orders to one engine


class LoadedEngine(NamedTuple):
    """An engine and the model that it serves."""

    name: str
    model: str
    ordered_s: float = -math.inf  # time of the last order
    ready: bool = True  # False while it loads a model
    leaving: bool = False


class ModelDemand(NamedTuple):
    """Demand for one model."""

    busy_engines: float  # mean number of engines needed for the work
    weights_bytes: int
    min_engines: int = 1


class DesiredState(NamedTuple):
    """An order: the model an engine should serve, not a step to take."""

    engine: str
    model: str
    fencing: int  # the order owner's fencing number, from the platform


class WeightPullLimiter:
    """Token bucket for the bytes pulled from the weight store."""

    def __init__(
        self, bytes_s: float, burst_s: float = MIN_ORDER_INTERVAL_S
    ) -> None:
        """Initializes a full bucket."""
        self._bytes_s = bytes_s
        self._burst_bytes = bytes_s * burst_s
        self._available_bytes = self._burst_bytes
        self._refilled_s: float = 0

    def try_acquire(self, size_bytes: int, now: float) -> bool:
        """Returns whether a pull may start now, and counts its bytes.

        A pull that is larger than the bucket may start when it is full.
        """
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
    """Returns orders that move engines to the models that need them.

    A model gets one more engine above `SCALE_UP_LOAD` and gives one up only if
    the load of its others stays below `SCALE_DOWN_LOAD`. The gap between the
    two and the minimum interval between orders to one engine prevent
    oscillation.
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
    """Returns whether a new owner of an engine's orders may send them.

    An engine that ignores fencing numbers may still be executing an order of
    the previous owner, so the new one waits for the longest time that an
    order can take.
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
