"""The `publish` command: publishes definition files."""

from typing import Annotated

import typer

from cactusledge.cli.options import (
    Format,
    OutputFormat,
    Paths,
    Platform,
    get_environment,
    open_platform,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.settings.definitions import collect
from cactusledge.settings.publish import Publisher, publish
from cactusledge.status import ExitStatus

USER_VARIABLES = ('USER', 'LOGNAME')
DEFAULT_PUBLISHER = 'unnamed'

ExpectGeneration = Annotated[
    int | None,
    typer.Option(
        metavar='N',
        help='Publish only if N is the generation published now.',
    ),
]
PublisherName = Annotated[
    str,
    typer.Option(help='Your name, shown to operators who publish as well.'),
]


def command(
    ctx: typer.Context,
    paths: Paths,
    platform: Platform = '',
    expect_generation: ExpectGeneration = None,
    publisher: PublisherName = '',
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Publish the files as the configuration of all instances.

    The files given are the whole configuration: what they do not define is
    removed.

    Example: cactusledge publish services/ --expect-generation 41
    """
    env = get_environment(ctx)
    wanted = collect(paths)
    store = open_platform(env, platform)
    names = (
        publisher,
        *(
            env.environ.get(variable_name, '')
            for variable_name in USER_VARIABLES
        ),
    )
    name = next(filter(None, names), DEFAULT_PUBLISHER)
    identity = Publisher(name, sleep=env.sleep, now=env.now)
    result = publish(store, wanted, expect_generation, identity)
    if output is Format.JSON:
        write_json(env, result._asdict())
        return ExitStatus.OK
    verb = 'Published' if result.changed else 'Nothing changed: it is'
    write_lines(env, (f'{verb} generation {result.generation}.',))
    return ExitStatus.OK
