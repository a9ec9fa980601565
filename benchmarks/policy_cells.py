"""Runs the cells of the policy benchmark in a few worker processes."""

from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from benchmarks import baselines, workloads
from benchmarks.policy_cases import CASES, Case, programs
from benchmarks.policy_run import Run
from benchmarks.policy_scheduled import ScheduledRouter
from benchmarks.policy_tally import Figures, Tally
from benchmarks.workloads import User
from cactusledge.routing.policy import PolicySettings

WORKERS = 3
LOADS = (0.6, 0.9, 1.3)
FULL_LOAD = 1.0
FULL_LOAD_CASES = 'be'  # goodput at 130 % is compared with 100 %
OURS = 'cactusledge'
PREVIOUS = 'previous'
BALANCERS = ('random', 'round robin', 'least in flight', 'prefix affinity')
POLICIES = (*BALANCERS, PREVIOUS, OURS)


class Cell(NamedTuple):
    """One policy under one case, load and user."""

    user: str
    case: str
    load: float
    policy: str


_USERS = {user.name: user for user in (workloads.FORMOSA, workloads.GEBETA)}
_CASES = {case.name: case for case in CASES}
_ROUTERS: dict[str, Callable[[int], baselines.Router]] = {
    'random': baselines.RandomBalancer,
    'round robin': baselines.RoundRobin,
    'least in flight': baselines.LeastInFlight,
    'prefix affinity': baselines.PrefixAffinity,
}
_PREVIOUS: dict[str, bool | float] = {}


def all_cells(
    cases: Iterable[Case] = CASES, policies: Iterable[str] = POLICIES
) -> list[Cell]:
    """Returns the cells of the whole table."""
    return [
        Cell(user, case.name, load, policy)
        for user in _USERS
        for case in cases
        for load in _loads(case)
        for policy in policies
    ]


def measure(
    cells: list[Cell], seeds: tuple[int, ...]
) -> Mapping[Cell, Figures]:
    """Returns the figures of the cells over all seeds."""
    with ProcessPoolExecutor(WORKERS) as pool:
        figures = pool.map(run_cell, cells, [seeds] * len(cells))
        return dict(zip(cells, figures, strict=True))


def run_cell(cell: Cell, seeds: tuple[int, ...]) -> Figures:
    """Returns the figures of one cell."""
    total = Tally()
    total.runs = 0
    user = _USERS[cell.user]
    case = _CASES[cell.case]
    for seed in seeds:
        drawn = programs(case, user, cell.load, seed)
        router = _router(cell.policy, user, seed)
        total.add(Run(user, case, router, drawn, seed).run())
    return total.figures()


def _loads(case: Case) -> list[float]:
    extra = [FULL_LOAD] if case.name in FULL_LOAD_CASES else []
    return sorted([*LOADS, *extra])


def _router(policy: str, user: User, seed: int) -> baselines.Router:
    if policy in _ROUTERS:
        return _ROUTERS[policy](seed)
    settings = PolicySettings(cache_weight=user.cache_weight)
    switches: dict[str, bool | float] = {}
    if policy == PREVIOUS:
        switches = _PREVIOUS
    elif policy != OURS:  # an ablation: the name of a switch
        switches = {policy: False}
    return ScheduledRouter(settings._replace(**switches), user.limits)
