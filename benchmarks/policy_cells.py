"""Runs the cells of the policy benchmark in a few worker processes."""

import itertools
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor
from types import MappingProxyType
from typing import NamedTuple

from benchmarks import baselines
from benchmarks.policy_cases import CASES, Case, programs
from benchmarks.policy_run import Run
from benchmarks.policy_scheduled import ScheduledRouter
from benchmarks.policy_tally import Figures, Tally
from benchmarks.workloads import FORMOSA, GEBETA, User
from cactusledge.routing.policy import PolicySettings

WORKERS = 3
LOADS = (0.6, 0.9, 1.3)
FULL_LOAD = 1.0
FULL_LOAD_CASES = 'be'  # goodput at 130 % is compared with 100 %
OURS = 'cactusledge'
PREVIOUS = 'previous'
BOUND = 'bound: no prefix recomputed'  # least in flight, perfect caches
BOUND_CASES = 'a'
BALANCERS = ('random', 'round robin', 'least in flight', 'prefix affinity')
POLICIES = (*BALANCERS, PREVIOUS, OURS, BOUND)


class Cell(NamedTuple):
    """One policy under one case, load and user."""

    user: str
    case: str
    load: float
    policy: str


_USERS = MappingProxyType({user.name: user for user in (FORMOSA, GEBETA)})
_CASES = MappingProxyType({case.name: case for case in CASES})
_ROUTERS: Mapping[str, Callable[[int], baselines.Router]] = MappingProxyType({
    'random': baselines.RandomBalancer,
    'round robin': baselines.RoundRobin,
    'least in flight': baselines.LeastInFlight,
    'prefix affinity': baselines.PrefixAffinity,
    BOUND: baselines.LeastInFlight,
})


def all_cells(
    cases: Iterable[Case] = CASES, policies: Iterable[str] = POLICIES
) -> list[Cell]:
    """Returns the cells of the whole table."""
    rows = [(case.name, load) for case in cases for load in _loads(case)]
    columns = itertools.product(_USERS, rows, policies)
    return [
        Cell(user, name, load, policy) for user, (name, load), policy in columns
    ]


def measure(
    cells: list[Cell], seeds: tuple[int, ...]
) -> Mapping[Cell, Figures]:
    """Returns the figures of the cells over all seeds."""
    with ProcessPoolExecutor(WORKERS) as pool:
        figures = pool.map(run_cell, cells, itertools.repeat(seeds))
        return dict(zip(cells, figures, strict=False))


def run_cell(cell: Cell, seeds: tuple[int, ...]) -> Figures:
    """Returns the figures of one cell."""
    total = Tally()
    total.runs = 0
    user = _USERS[cell.user]
    case = _CASES[cell.case]
    for seed in seeds:
        drawn = programs(case, user, cell.load, seed)
        router = _router(cell.policy, user, seed)
        run = Run(user, case, router, seed, perfect_caches=cell.policy == BOUND)
        total.add(run.run(drawn))
    return total.figures()


def _loads(case: Case) -> list[float]:
    extra = [FULL_LOAD] if case.name in FULL_LOAD_CASES else []
    return sorted([*LOADS, *extra])


def _router(policy: str, user: User, seed: int) -> baselines.Router:
    balancer = _ROUTERS.get(policy)
    if balancer is not None:
        return balancer(seed)
    settings = PolicySettings(cache_weight=user.cache_weight)
    if policy == PREVIOUS:
        settings = previous_settings(settings)
    elif policy != OURS:  # an ablation names the switch that is off
        settings = without(settings, policy)
    return ScheduledRouter(settings, user.limits)


def without(settings: PolicySettings, switch: str) -> PolicySettings:
    """Returns settings with one mechanism off."""
    return PolicySettings(**{**settings._asdict(), switch: False})


def previous_settings(settings: PolicySettings) -> PolicySettings:
    """Returns the settings that match the previous version."""
    return settings._replace(
        hold_prefills=False, breaker=False, latest_start_share=1
    )
