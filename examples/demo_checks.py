"""Checks of the demonstration against the stand-ins' own records."""

from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from typing import Any, NamedTuple

from examples.demo_program import Caller
from standins.deployment import Deployment, wait_until


class Check(NamedTuple):
    """One line of the table."""

    program: str
    what: str
    found: str
    holds: bool


class Evidence(NamedTuple):
    """What the stand-ins recorded."""

    requests: Sequence[dict[str, Any]]  # of all engines
    executions: Sequence[dict[str, Any]]  # of all services


def gather(
    deployed: Deployment,
    engines: Iterable[str],
    services: Iterable[str],
) -> Evidence:
    """Reads the records of the stand-ins."""
    return Evidence(
        [
            request
            for name in engines
            for request in deployed.get(name, '/records')['requests']
        ],
        [
            execution
            for name in services
            for execution in deployed.get(name, '/records')['executions']
        ],
    )


def check_program(
    caller: Caller,
    entry: str,
    evidence: Evidence,
) -> list[Check]:
    """Returns the checks of one program."""
    return [check(caller, entry, evidence) for check in _CHECKS]


def check_cache(
    deployed: Deployment,
    engines: Iterable[str],
    program_id: str,
) -> Check:
    """Waits until no engine holds the ended program's cache."""
    names = tuple(engines)
    with suppress(TimeoutError):
        wait_until(
            lambda: not _holders(deployed, names, program_id),
            'caches released',
        )
    found = _holders(deployed, names, program_id)
    what = f'{len(found)} engines'
    return Check(program_id, 'cache left held', what, not found)


def _holders(
    deployed: Deployment,
    engines: Iterable[str],
    program_id: str,
) -> list[str]:
    return [
        name
        for name in engines
        if program_id in deployed.get(name, '/records')['cache']
    ]


def _check_order(caller: Caller, entry: str, evidence: Evidence) -> Check:
    served = [
        int(one['seq'])
        for one in (*evidence.requests, *evidence.executions)
        if one['program'] == caller.program_id
    ]
    listed = [call['seq'] for call in caller.history(entry)]
    wanted = list(range(1, len(caller.answers) + 1))
    holds = listed == wanted and sorted(set(served)) == wanted
    found = f'{len(listed)} calls, {len(served)} served'
    return Check(caller.program_id, 'order', found, holds)


def _check_history(caller: Caller, entry: str, evidence: Evidence) -> Check:
    told = [answer['body'] for answer in caller.answers]
    kept = [call['answer'] for call in caller.history(entry)]
    found = f'{len(kept)} of {len(told)} answers kept'
    return Check(caller.program_id, 'history whole', found, kept == told)


def _check_single_run(caller: Caller, entry: str, evidence: Evidence) -> Check:
    runs = [
        one
        for one in evidence.executions
        if one['program'] == caller.program_id
        and one['operation'] == caller.scenario.write_operation
    ]
    found = f'{len(runs)} runs of 1 call made twice'
    holds = len(runs) == 1
    return Check(caller.program_id, 'non-idempotent', found, holds)


def _check_budget(caller: Caller, entry: str, evidence: Evidence) -> Check:
    view = caller.view(entry)
    answered = sum(answer['spent'] for answer in caller.answers)
    within = answered <= view['spent'] <= view['budget']
    found = f'{view["spent"]} of {view["budget"]} units'
    return Check(caller.program_id, 'spend', found, within)


_CHECKS: tuple[Callable[[Caller, str, Evidence], Check], ...] = (
    _check_order,
    _check_history,
    _check_single_run,
    _check_budget,
)
