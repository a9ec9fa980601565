"""Cases of the policy benchmark: arrivals, kinds and faults."""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from benchmarks.workloads import (
    PAUSING,
    Program,
    User,
    draw,
    mean_engine_seconds,
)

ARRIVALS_S = 180.0
WARM_UP_S = 20.0  # programs that arrive earlier are not measured
FAULT_S = 60.0
HOT_RAMP_S = 100.0
HOT_SHARE = 0.9
OUTAGE_S = 10.0
CUT_S = 40.0


class Fault(NamedTuple):
    """A change of the world at a time."""

    at_s: float
    action: str  # 'leave', 'slow', 'down', 'up', 'cut', 'heal'
    target: str = ''


class Case(NamedTuple):
    """One row of the table."""

    name: str
    title: str
    faults: Callable[[User], list[Fault]]
    hot: bool = False
    pausing: bool = False


def no_faults(user: User) -> list[Fault]:
    """Returns no faults."""
    return []


def leave_and_slow(user: User) -> list[Fault]:
    """Returns two engines that leave and one that slows down."""
    return [
        Fault(FAULT_S, 'leave', 'e0'),
        Fault(FAULT_S, 'leave', 'e2'),
        Fault(FAULT_S, 'slow', 'e1'),
    ]


def outage(user: User) -> list[Fault]:
    """Returns an outage of all engines."""
    return [Fault(FAULT_S, 'down'), Fault(FAULT_S + OUTAGE_S, 'up')]


def partition(user: User) -> list[Fault]:
    """Returns the loss of one data centre and its return."""
    data_centre = user.engines[-1]
    return [
        Fault(FAULT_S, 'cut', data_centre),
        Fault(FAULT_S + CUT_S, 'heal', data_centre),
    ]


CASES = (
    Case('a', 'steady mixed programs', no_faults),
    Case('b', 'one program takes nearly all demand', no_faults, hot=True),
    Case('c', 'two engines leave, one slows fourfold', leave_and_slow),
    Case('d', 'tool pauses of 0.1 to 60 s', no_faults, pausing=True),
    Case('e', 'retry storm after an outage of 10 s', outage),
    Case('f', 'a data centre cut off for 40 s', partition),
)


def programs(case: Case, user: User, load: float, seed: int) -> list[Program]:
    """Returns the programs of one run in the order of their arrival."""
    kinds = user.kinds
    if case.pausing:
        kinds = tuple(kind._replace(pauses_s=PAUSING) for kind in kinds)
    everyday_s = mean_engine_seconds(kinds, user.limits)
    hot_s = mean_engine_seconds((user.hot,), user.limits)
    rng = random.Random(f'{seed}/{case.name}/{user.name}')
    places = sorted(set(user.engines))
    drawn = []
    for number, at_s in enumerate(_arrivals(rng)):
        hot_share = _hot_share(at_s) if case.hot else 0
        mean_s = hot_share * hot_s + (1 - hot_share) * everyday_s
        rate = load * len(user.engines) / mean_s
        if rng.random() * _PEAK_RATE > rate:
            continue
        kind = rng.choice(kinds)
        if rng.random() < hot_share:
            kind = user.hot
        place = rng.choice(places)
        unique = seed * _SEED_STRIDE + number
        drawn.append(draw(unique, kind, place, at_s, user.limits))
    return drawn


_PEAK_RATE = 25.0  # programs a second, thinned to the wanted rate
_SEED_STRIDE = 100_000


def _arrivals(rng: random.Random) -> Iterator[float]:
    at_s = rng.expovariate(_PEAK_RATE)
    while at_s < ARRIVALS_S:
        yield at_s
        at_s += rng.expovariate(_PEAK_RATE)


def _hot_share(at_s: float) -> float:
    return HOT_SHARE * min(1, max(0, at_s - WARM_UP_S) / HOT_RAMP_S)
