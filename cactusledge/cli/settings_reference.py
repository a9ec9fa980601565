"""The `settings-reference` command."""

import typer

from cactusledge.cli.options import environment_of
from cactusledge.settings.reference import reference_page
from cactusledge.status import ExitStatus


def command(ctx: typer.Context) -> ExitStatus:
    """Print the reference page of the settings and definition files.

    Example: cactusledge settings-reference > docs/operators/settings.md
    """
    environment_of(ctx).stdout.write(reference_page())
    return ExitStatus.OK
