"""Runs one program of each user through real processes, and checks it.

`make demo` starts a platform stand-in, two engines, two services and three
entry instances in two data centres, kills the instance that drives a program
between two turns, and prints a table of checks.
"""

import sys
import tempfile
from pathlib import Path

from examples.demo_checks import (
    Check,
    check_cache,
    check_program,
    gather,
)
from examples.demo_program import LEDGER, SHOWROOM, Caller
from standins.deployment import ROOT, Deployment, wait_until

ENGINES = ('engine-booking', 'engine-ledger')
SERVICES = ('booking-1', 'ledger-1')
ENTRIES = ('entry-1', 'entry-2', 'entry-3')
BOLE = 'addis-bole'
KIRKOS = 'addis-kirkos'
TOOL_PAUSE = '{"delay_s": 0.3}'
NOT_IDEMPOTENT = '{"idempotent": false}'


def main() -> int:
    """Runs the demonstration; returns 0 only if every check holds."""
    with tempfile.TemporaryDirectory() as folder:
        deployed = Deployment(Path(folder))
        with deployed:
            start(deployed)
            checks = [*run(deployed), stop(deployed)]
        checks.append(check_processes(deployed))
    write_table(checks)
    return 0 if all(check.holds for check in checks) else 1


def start(deployed: Deployment) -> None:
    """Starts every process and publishes the definition files."""
    deployed.start_platform()
    deployed.start_engine('engine-booking', 'booking-agent', BOLE)
    deployed.start_engine('engine-ledger', 'ledger-agent', KIRKOS)
    deployed.start_service(
        'booking-1',
        'booking',
        BOLE,
        f'--operation=availability={TOOL_PAUSE}',
        f'--operation=confirm={NOT_IDEMPOTENT}',
    )
    deployed.start_service(
        'ledger-1',
        'ledger',
        KIRKOS,
        f'--operation=read_ledger={TOOL_PAUSE}',
        f'--operation=transfer_hours={NOT_IDEMPOTENT}',
    )
    deployed.publish(ROOT / 'examples')
    deployed.start_entry('entry-1', BOLE)
    seeds = [deployed.peers_port('entry-1')]
    deployed.start_entry('entry-2', BOLE, seeds)
    deployed.start_entry('entry-3', KIRKOS, seeds)
    deployed.wait_ready(*ENTRIES)
    wait_until(lambda: sees_all(deployed), 'instances see each other')


def sees_all(deployed: Deployment) -> bool:
    """Returns whether every instance sees the others."""
    others = len(ENTRIES) - 1
    return all(
        len(deployed.get(name, '/status')['peers']) == others
        for name in ENTRIES
    )


def run(deployed: Deployment) -> list[Check]:
    """Runs both programs; returns their checks."""
    showroom = Caller(deployed, SHOWROOM)
    ledger = Caller(deployed, LEDGER)
    showroom.open('entry-1')
    ledger.open('entry-3')
    for caller in (showroom, ledger):
        caller.ask_model('entry-3', caller.scenario.first_message)
        caller.use_tool('entry-1', caller.scenario.read_operation)
        run_sub_agent(deployed, caller)
    killed = kill_driver(deployed, showroom)
    left = [name for name in ENTRIES if name != killed]
    for caller in (showroom, ledger):
        caller.ask_model(left[0], 'Go on.')
        operation = caller.scenario.write_operation
        caller.use_tool(left[1], operation, repeats=2)
        caller.ask_model(left[1], 'Sum up what was agreed.')
        caller.end(left[0])
    evidence = gather(deployed, ENGINES, SERVICES)
    checks: list[Check] = []
    for caller in (showroom, ledger):
        checks.extend(check_program(caller, left[0], evidence))
        checks.append(check_cache(deployed, ENGINES, caller.program_id))
    return checks


def run_sub_agent(deployed: Deployment, parent: Caller) -> None:
    """Runs a sub-agent on a share of its parent's budget."""
    child = Caller(deployed, parent.scenario)
    child.open('entry-2', parent.program_id)
    child.ask_model('entry-2', parent.scenario.sub_agent_message)
    child.end('entry-2')


def kill_driver(deployed: Deployment, caller: Caller) -> str:
    """Kills the instance that drives a program; returns its name."""
    log = caller.program_id.rpartition('.')[0]
    for name in ENTRIES:
        if log in deployed.get(name, '/status')['logs']:
            deployed.kill(name)
            say(f'Killed {name}, which drove {caller.program_id}.')
            return name
    raise LookupError(f'Nobody drives {caller.program_id}.')


def stop(deployed: Deployment) -> Check:
    """Stops the instances that are left; their exit status must be 0."""
    statuses = [
        deployed.stop(name) for name in ENTRIES if deployed.is_running(name)
    ]
    holds = not any(statuses)
    return Check('all', 'graceful stop', f'exit statuses {statuses}', holds)


def check_processes(deployed: Deployment) -> Check:
    """Returns whether every started process has ended."""
    left = deployed.processes_left()
    return Check('all', 'processes left', str(left), not left)


def write_table(checks: list[Check]) -> None:
    """Prints the checks as the last lines."""
    for check in checks:
        mark = 'ok' if check.holds else 'FAILED'
        say(f'{mark:<7}{check.program:<36}{check.what:<18}{check.found}')


def say(line: str) -> None:
    """Writes a line to standard output."""
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main())
