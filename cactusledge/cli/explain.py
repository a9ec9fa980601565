"""The `explain` command: traces a request through the logs."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import typer

from cactusledge.cli.options import Format, OutputFormat, get_environment
from cactusledge.cli.output import write_json, write_lines
from cactusledge.environment import Environment
from cactusledge.status import ExitStatus
from cactusledge.telemetry.explanation import (
    Explanation,
    describe,
    describe_cause,
    explain,
    read_lines,
)

NO_LINES_REMEDY = 'Give the logs of all instances, and look for lines left out.'

RequestId = Annotated[str, typer.Argument(help='Id of the request.')]
Logs = Annotated[
    list[Path] | None,
    typer.Argument(help='Log files; standard input without any.'),
]


def command(
    ctx: typer.Context,
    request_id: RequestId,
    logs: Logs = None,
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Show the way of a request and the decision that ended it.

    Example: cactusledge explain 9c41d07be2a35f68 front-1.log front-2.log
    """
    env = get_environment(ctx)
    found = explain(read_lines(_read_logs(env, logs or [])), request_id)
    if output is Format.JSON:
        write_json(env, found._asdict())
    else:
        write_lines(env, _format_explanation(found))
    return ExitStatus.OK if found.lines else ExitStatus.ERROR


def _read_logs(env: Environment, logs: list[Path]) -> Iterator[str]:
    if not logs:
        yield from env.stdin
    for path in logs:
        with path.open(encoding='utf-8', errors='replace') as stream:
            yield from stream


def _format_explanation(found: Explanation) -> list[str]:
    if not found.lines:
        return [
            f'{found.request_id}: no log line mentions this request.',
            NO_LINES_REMEDY,
        ]
    lines = ['State before the request:']
    lines.extend(f'  {describe(line)}' for line in found.context)
    lines.append('The request:')
    lines.extend(f'  {describe(line)}' for line in found.lines)
    if found.decision is None:
        lines.append('These logs do not show its end.')
    else:
        lines.append(f'Ended by: {describe_cause(found.decision)}')
    return lines
