"""Compares the routing policy with common balancers under a fake clock."""

import pathlib
import subprocess
import sys
from typing import Annotated

import typer

from benchmarks import policy_ablation, policy_cells, policy_report
from benchmarks.policy_cases import CASES

SEEDS = (11, 12)
FINAL_SEEDS = (101, 102)  # not used while the policy is worked on


def main(
    out: Annotated[pathlib.Path | None, typer.Option()] = None,
    *,
    final: bool = False,
    ablate: bool = False,
    case: str = '',
    policy: str = '',
) -> None:
    """Prints the table of all cells, or of one case or policy."""
    seeds = FINAL_SEEDS if final else SEEDS
    cases = [item for item in CASES if not case or item.name in case]
    if ablate:
        _show(
            f'{_origin(seeds)}\n\n{policy_ablation.report(cases, seeds)}', out
        )
        return
    policies = policy.split(',') if policy else policy_cells.POLICIES
    cells = policy_cells.all_cells(cases, policies)
    figures = policy_cells.measure(cells, seeds)
    parts = ['# Policy under load', _origin(seeds)]
    parts.append('\n'.join(f'- ({item.name}) {item.title}' for item in cases))
    if set(policy_cells.POLICIES) <= set(policies):
        parts.extend(_targets(figures))
    parts.append(policy_report.table(figures))
    _show('\n\n'.join(parts), out)


def _targets(figures: policy_report.Table) -> list[str]:
    checked = policy_report.targets(figures)
    missed = [target for target in checked if not target.met]
    lines = [
        f'- {"met" if target.met else "NOT MET"}: {target.title}'
        f' ({target.measured})'
        for target in checked
        if not target.met or 'no worse' not in target.title
    ]
    met = len(checked) - len(missed)
    return [f'{met} of {len(checked)} targets met.', '\n'.join(lines)]


def _origin(seeds: tuple[int, ...]) -> str:
    commit = subprocess.run(
        ('git', 'rev-parse', '--short', 'HEAD'),
        capture_output=True,
        check=False,
        text=True,
    ).stdout.strip()
    command = ' '.join(('python -m benchmarks.policy', *sys.argv[1:]))
    return f'Command `{command}`, commit {commit}, seeds {seeds}.'


def _show(text: str, out: pathlib.Path | None) -> None:
    if out is None:
        typer.echo(text)
        return
    out.write_text(f'{text}\n', encoding='utf-8')


if __name__ == '__main__':
    typer.run(main)
