"""Switches each mechanism off in turn."""

from benchmarks import policy_cells, policy_report
from benchmarks.policy_cases import Case
from cactusledge.routing.policy import PolicySettings

LOADS = (0.9, 1.3)


def switches() -> list[str]:
    """Returns the names of the mechanisms that can be off."""
    defaults = PolicySettings()._asdict()
    return [name for name in defaults if defaults[name] is True]


def report(cases: list[Case], seeds: tuple[int, ...]) -> str:
    """Returns a table of the policy without each mechanism."""
    policies = [policy_cells.OURS, *switches()]
    cells = [
        cell
        for cell in policy_cells.all_cells(cases, policies)
        if cell.load in LOADS
    ]
    figures = policy_cells.measure(cells, seeds)
    return policy_report.table(figures)
