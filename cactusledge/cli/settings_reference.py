"""The `settings-reference` command: prints the settings reference."""

import typer

from cactusledge.cli.options import get_environment
from cactusledge.settings.reference import reference_page
from cactusledge.status import ExitStatus


def command(ctx: typer.Context) -> ExitStatus:
    """Print the reference page of the settings and definition files.

    Example: cactusledge settings-reference > docs/operators/settings.md
    """
    get_environment(ctx).stdout.write(reference_page())
    return ExitStatus.OK
