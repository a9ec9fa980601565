"""Arguments and options that several commands share."""

import enum
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from cactusledge.environment import Environment
from cactusledge.models import Address
from cactusledge.settings.errors import InvalidSettingsError, Problem
from cactusledge.settings.strict import parse_address

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

PLATFORM_VARIABLE = 'CACTUSLEDGE_PLATFORM__ADDRESSES'
REQUEST_TIMEOUT_S = 5.0


class Format(enum.StrEnum):
    """Form of a command's output."""

    TEXT = 'text'
    JSON = 'json'


Paths = Annotated[
    list[Path],
    typer.Argument(help='Definition files, or folders that hold them.'),
]
Platform = Annotated[
    str,
    typer.Option(
        metavar='HOST:PORT[,...]',
        help=f'Addresses of the object API; else {PLATFORM_VARIABLE}.',
    ),
]
OutputFormat = Annotated[
    Format, typer.Option('--format', help='Form of the output.')
]


def get_environment(ctx: typer.Context) -> Environment:
    """Returns the environment that was passed to the program."""
    env: Environment = ctx.obj
    return env


def open_platform(env: Environment, option: str) -> 'ObjectStore':
    """Returns a client of the platform's object API.

    The addresses come from the option, or else from the environment.
    """
    text = option or env.environ.get(PLATFORM_VARIABLE, '')
    addresses = parse_addresses(text, '--platform')
    return env.open_store(addresses, REQUEST_TIMEOUT_S)


def parse_addresses(text: str, option: str) -> Sequence[Address]:
    """Parses a comma-separated list of one or more addresses."""
    parts = [part.strip() for part in text.split(',') if part.strip()]
    try:
        addresses = [parse_address(part) for part in parts]
    except ValueError as exc:
        raise _bad_option(option, f'{exc}.') from exc
    if not addresses:
        raise _bad_option(option, 'No address is given.')
    return addresses


def _bad_option(option: str, message: str) -> InvalidSettingsError:
    problem = Problem(option, message, 'Give it as host:port[,host:port].')
    return InvalidSettingsError((problem,))
