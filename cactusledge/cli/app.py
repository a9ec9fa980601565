"""The command-line program and its table of commands.

Each command is a module with a `command` function. The module is imported
only when its command runs or when help lists all commands.
"""

import functools
import inspect
from collections.abc import Callable, Mapping
from importlib import import_module
from types import MappingProxyType
from typing import Annotated, Any

import typer
from typer.core import TyperGroup

from cactusledge import __version__
from cactusledge.environment import PROGRAM_NAME
from cactusledge.status import ExitStatus

# Module of each command, by the command's name.
COMMANDS: Mapping[str, str] = MappingProxyType({
    'validate': 'cactusledge.cli.validate',
    'plan': 'cactusledge.cli.plan',
    'publish': 'cactusledge.cli.publish',
    'status': 'cactusledge.cli.status',
    'groups': 'cactusledge.cli.groups',
    'entry': 'cactusledge.cli.entry',
    'call': 'cactusledge.cli.call',
    'history': 'cactusledge.cli.history',
    'explain': 'cactusledge.cli.explain',
    'hash-token': 'cactusledge.cli.hash_token',
    'settings-reference': 'cactusledge.cli.settings_reference',
})

DESCRIPTION = """\
Scheduler for agent programs.

Operators edit definition files beside their services and publish them:

  cactusledge validate services/

  cactusledge plan services/ --platform 127.0.0.1:8400

  cactusledge publish services/ --platform 127.0.0.1:8400
"""


class LazyGroup(TyperGroup):
    """A command group that imports each command on first use."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Returns the command names in the order of the table."""
        return list(COMMANDS)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Returns the command, or None if the name is unknown."""
        path = COMMANDS.get(cmd_name)
        if path is None:
            return None
        return _load(cmd_name, import_module(path).command)


app = typer.Typer(
    cls=LazyGroup,
    help=DESCRIPTION,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
)


def _print_version(*, is_requested: bool) -> None:
    if is_requested:
        typer.echo(f'{PROGRAM_NAME} {__version__}')
        raise typer.Exit


@app.callback()
def _root(
    *,
    version: Annotated[
        bool,
        typer.Option(
            '--version',
            help='Print the version.',
            is_eager=True,
            callback=lambda is_requested: _print_version(
                is_requested=is_requested
            ),
        ),
    ] = False,
) -> None:
    """Makes typer build a group, however many commands there are."""


def _load(name: str, command: Callable[..., ExitStatus]) -> Any:
    """Builds the click command that parses the arguments and runs it."""
    typer_app = typer.Typer(add_completion=False, rich_markup_mode=None)
    help_text = inspect.cleandoc(command.__doc__ or '')
    typer_app.command(name, help=help_text)(_exit_with_result(command))
    return typer.main.get_command(typer_app)


def _exit_with_result(
    command: Callable[..., ExitStatus],
) -> Callable[..., None]:
    """Wraps a command so that its result becomes the exit status."""

    @functools.wraps(command)
    def wrapper(*args: Any, **options: Any) -> None:
        raise typer.Exit(command(*args, **options))

    return wrapper
