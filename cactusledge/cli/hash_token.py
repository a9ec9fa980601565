"""The `hash-token` command: prints the hash of a token."""

import typer

from cactusledge.cli.options import get_environment
from cactusledge.cli.output import write_lines
from cactusledge.settings.configuration import hash_token
from cactusledge.settings.errors import InvalidDefinitionError, Problem
from cactusledge.status import ExitStatus


def command(ctx: typer.Context) -> ExitStatus:
    """Read a token from standard input and print its hash.

    Example: cactusledge hash-token < token.txt
    """
    env = get_environment(ctx)
    token = env.stdin.readline().strip()
    if not token:
        problem = Problem(
            'standard input',
            'There is no token.',
            'Write it on the first line.',
        )
        raise InvalidDefinitionError((problem,))
    write_lines(env, (hash_token(token),))
    return ExitStatus.OK
