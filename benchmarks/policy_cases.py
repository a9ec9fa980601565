"""Cases of the policy benchmark: arrivals, kinds and faults."""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from benchmarks.workloads import (
    PAUSING,
    Kind,
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
PEAK_RATE = 25.0  # programs a second, thinned to the wanted rate
SEED_STRIDE = 100_000


class Fault(NamedTuple):
    """A change of the world at a time."""

    at_s: float
    action: str  # 'leave', 'slow', 'down', 'up', 'cut'
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
        Fault(FAULT_S + CUT_S, 'cut', ''),
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
    rng = random.Random(f'{seed}/{case.name}/{user.name}')
    mix = Mix(case, user)
    places = sorted(set(user.engines))
    drawn = []
    for number, at_s in enumerate(_arrivals(rng)):
        if rng.random() * PEAK_RATE > load * mix.capacity(at_s):
            continue
        kind = mix.pick(at_s, rng)
        unique = seed * SEED_STRIDE + number
        place = rng.choice(places)
        drawn.append(draw(unique, kind, place, at_s, user.limits))
    return drawn


class Mix:
    """Kinds of programs over time, and the rate that fills the engines."""

    def __init__(self, case: Case, user: User) -> None:
        """Works the engine time of each kind out."""
        self._hot = user.hot if case.hot else None
        self._kinds = user.kinds
        if case.pausing:
            self._kinds = tuple(
                kind._replace(pauses_s=PAUSING) for kind in user.kinds
            )
        self._engines = len(user.engines)
        self._usual_s = mean_engine_seconds(self._kinds, user.limits)
        self._hot_s = mean_engine_seconds((user.hot,), user.limits)

    def capacity(self, at_s: float) -> float:
        """Returns the programs a second that fill the engines."""
        share = self._hot_share(at_s)
        mean_s = share * self._hot_s + (1 - share) * self._usual_s
        return self._engines / mean_s

    def pick(self, at_s: float, rng: random.Random) -> Kind:
        """Returns the kind of an arriving program."""
        if self._hot and rng.random() < self._hot_share(at_s):
            return self._hot
        return rng.choice(self._kinds)

    def _hot_share(self, at_s: float) -> float:
        if self._hot is None:
            return 0
        ramp = (at_s - WARM_UP_S) / HOT_RAMP_S
        return HOT_SHARE * min(1, max(0, ramp))


def _arrivals(rng: random.Random) -> Iterator[float]:
    at_s = rng.expovariate(PEAK_RATE)
    while at_s < ARRIVALS_S:
        yield at_s
        at_s += rng.expovariate(PEAK_RATE)
