"""The `status` command: checks that a generation is in force."""

from collections.abc import Iterator
from typing import Annotated, Any

import typer

from cactusledge.cli.options import (
    Format,
    OutputFormat,
    Platform,
    get_environment,
    open_platform,
    parse_addresses,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.cli.reports import QueriedReports, StoredReports
from cactusledge.settings.rollout import Report, Rollout
from cactusledge.status import ExitStatus

MAX_REPORT_AGE_S = 60.0
WAIT_INTERVAL_S = 0.5

Instances = Annotated[
    str,
    typer.Option(
        metavar='HOST:PORT[,...]',
        help='Ask these instances instead of reading their reports.',
    ),
]
Generation = Annotated[
    int | None,
    typer.Option(metavar='N', help='Generation to prove; else the newest.'),
]
MaxAge = Annotated[
    float, typer.Option(help='Oldest report that proves anything, in s.')
]

Wait = Annotated[
    float, typer.Option(help='Wait so long for it to be in force, in s.')
]


def command(
    ctx: typer.Context,
    platform: Platform = '',
    instances: Instances = '',
    generation: Generation = None,
    max_age_s: MaxAge = MAX_REPORT_AGE_S,
    wait_s: Wait = 0,
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Prove that a generation is in force everywhere, or name who is behind.

    Example: cactusledge status --platform 127.0.0.1:8400 --wait-s 10

    Example: cactusledge status --instances 127.0.0.1:8420,127.0.0.1:8430
    """
    env = get_environment(ctx)
    source = (
        QueriedReports(env, parse_addresses(instances, '--instances'))
        if instances
        else StoredReports(open_platform(env, platform), env.now, max_age_s)
    )
    deadline_s = env.now() + wait_s
    rollout = source.rollout(generation)
    while not rollout.everywhere and env.now() < deadline_s:
        env.sleep(WAIT_INTERVAL_S)
        rollout = source.rollout(generation)
    if output is Format.JSON:
        write_json(env, _document(rollout))
    else:
        write_lines(env, _format_rollout(rollout))
    return ExitStatus.OK if rollout.everywhere else ExitStatus.ERROR


def _document(rollout: Rollout) -> dict[str, Any]:
    return {
        'generation': rollout.generation,
        'everywhere': rollout.everywhere,
        'in_force': [report._asdict() for report in rollout.in_force],
        'behind': [report._asdict() for report in rollout.behind],
    }


def _format_rollout(rollout: Rollout) -> Iterator[str]:
    for report in (*rollout.in_force, *rollout.behind):
        yield _format_report(report)
    count = len(rollout.in_force)
    total = count + len(rollout.behind)
    if rollout.everywhere:
        yield (
            f'Generation {rollout.generation} is in force everywhere'
            f' ({count} instances).'
        )
    else:
        yield (
            f'Generation {rollout.generation} is in force on {count} of'
            f' {total} instances.'
        )


def _format_report(report: Report) -> str:
    state = report.problem or f'generation {report.generation}'
    where = f' ({report.data_centre})' if report.data_centre else ''
    return f'{report.instance}{where}: {state}'
