"""Explores all models, then each of them with a guard off.

Exits with 1 if an invariant fails, an exploration is cut short, or the removal
of a guard goes unnoticed.
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import starmap

from model.guards import GUARDS
from model.runner import MODELS, Result, run_guard, run_model, run_unsealed
from model.world import Scenario

WORKERS = 4


def main() -> int:
    """Prints the tables; returns the exit status."""
    with ProcessPoolExecutor(WORKERS) as pool:
        models = pool.map(run_model, range(len(MODELS)))
        guards = pool.map(run_guard, range(len(GUARDS)))
        unsealed = pool.submit(run_unsealed)
        held = list(starmap(_print_model, enumerate(models)))
        _say('')
        caught = [_print_guard(found) for found in guards]
        _print_redundant(unsealed.result())
    _say(f'\n{sum(held)} of {len(held)} models hold,')
    _say(f'{sum(caught)} of {len(caught)} guard removals are caught.')
    return 0 if all(held) and all(caught) else 1


def _print_model(place: int, found: Result) -> bool:
    verdict = 'holds' if found.holds else f'FAILS {found.violated}'
    model = MODELS[place]
    _say(f'{found.name}: {verdict}, {found.states:,} states', end='')
    _say(f' in {found.seconds:.1f} s, exhaustive: {found.exhaustive}')
    if isinstance(model, Scenario):
        limits = ', '.join(
            f'{name} {count}' for name, count in model.limits._asdict().items()
        )
        _say(f'    instances {model.instances}, slots {model.size},', end='')
        _say(f' appends {model.max_number}, {limits}')
    _print_trace(found)
    return found.holds


def _print_guard(found: Result) -> bool:
    caught = bool(found.violated)
    verdict = 'caught' if caught else 'NOT CAUGHT'
    _say(f'without "{found.name}": {verdict}, {found.states:,} states')
    _say(f'    {", ".join(found.violated)}')
    _print_trace(found)
    return caught


def _print_redundant(found: Result) -> None:
    """Prints what the model finds to follow from the other guards."""
    verdict = 'caught' if found.violated else 'holds all the same'
    _say(f'without "{found.name}": {verdict}, {found.states:,} states')


def _print_trace(found: Result) -> None:
    if found.trace:
        _say(f'    {len(found.trace)} steps: {"; ".join(found.trace)}')


def _say(text: str, end: str = '\n') -> None:
    sys.stdout.write(text + end)


if __name__ == '__main__':
    sys.exit(main())
