"""The `validate` command: checks definition files."""

import typer

from cactusledge.cli.options import (
    Format,
    OutputFormat,
    Paths,
    get_environment,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.settings.definitions import collect
from cactusledge.settings.schema import KEY_FIELDS
from cactusledge.status import ExitStatus


def command(
    ctx: typer.Context,
    paths: Paths,
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Check definition files without publishing them.

    Example: cactusledge validate services/
    """
    env = get_environment(ctx)
    found = collect(paths)
    counts = {kind: len(getattr(found.merged, kind)) for kind in KEY_FIELDS}
    if output is Format.JSON:
        write_json(env, {'files': list(found.files), 'definitions': counts})
        return ExitStatus.OK
    totals = {'files': len(found.files), **counts}
    summary = ', '.join(f'{name} {count}' for name, count in totals.items())
    write_lines(env, (f'Valid: {summary}.',))
    return ExitStatus.OK
