"""Switches each mechanism off in turn."""

import statistics
from collections.abc import Callable
from typing import TypeAlias

from benchmarks import policy_cells, policy_report
from benchmarks.policy_cases import Case
from benchmarks.policy_tally import Figures
from cactusledge.routing.policy import PolicySettings

LOADS = (0.9, 1.3)
HEADER = (
    '| User | Off | p95 | Recomputed | Held, Mtok s | Goodput /s '
    '| Largest loss of goodput |'
)
RULE = f'{"|---" * 7}|'

Pick: TypeAlias = Callable[[Figures], float]


def switches() -> list[str]:
    """Returns the names of the mechanisms that can be off."""
    defaults = PolicySettings()._asdict()
    return [name for name in defaults if defaults[name] is True]


def report(cases: list[Case], seeds: tuple[int, ...]) -> str:
    """Returns means over the cases and loads without each mechanism."""
    policies = [policy_cells.OURS, *switches()]
    cells = [
        cell
        for cell in policy_cells.all_cells(cases, policies)
        if cell.load in LOADS
    ]
    figures = policy_cells.measure(cells, seeds)
    users = sorted({cell.user for cell in cells})
    rows = [_row(figures, user, name) for user in users for name in policies]
    return '\n'.join((HEADER, RULE, *rows))


def _row(figures: policy_report.Table, user: str, off: str) -> str:
    cells = [
        cell for cell in figures if cell.user == user and cell.policy == off
    ]
    chosen = [figures[cell] for cell in cells]
    losses = {
        f'({cell.case}) {cell.load:.0%}': _loss(figures, cell) for cell in cells
    }
    worst = max(losses, key=lambda name: losses[name])
    shown = (
        user,
        'nothing' if off == policy_cells.OURS else off,
        f'{_mean(chosen, lambda fig: fig.p95):.2f}',
        f'{_mean(chosen, lambda fig: fig.recomputed):.2%}',
        f'{_mean(chosen, lambda fig: fig.held_mega_token_s):.1f}',
        f'{_mean(chosen, lambda fig: fig.goodput):.3f}',
        f'{losses[worst]:.1%} in {worst}',
    )
    return f'| {" | ".join(shown)} |'


def _loss(figures: policy_report.Table, cell: policy_cells.Cell) -> float:
    whole = figures[cell._replace(policy=policy_cells.OURS)].goodput
    return 1 - figures[cell].goodput / whole


def _mean(chosen: list[Figures], pick: Pick) -> float:
    return statistics.fmean(pick(figures) for figures in chosen)
