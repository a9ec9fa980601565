"""The `publish` command."""

from typing import Annotated

import typer

from cactusledge.cli.options import (
    Format,
    OutputFormat,
    Paths,
    Platform,
    environment_of,
    open_platform,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.settings.definitions import collect
from cactusledge.settings.publish import Publisher, publish
from cactusledge.status import ExitStatus

USER_VARIABLES = ('USER', 'LOGNAME')
UNNAMED = 'unnamed'

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
    env = environment_of(ctx)
    wanted = collect(paths)
    store = open_platform(env, platform)
    names = (publisher, *(env.environ.get(one, '') for one in USER_VARIABLES))
    name = next(filter(None, names), UNNAMED)
    who = Publisher(name, sleep=env.sleep, now=env.now)
    done = publish(store, wanted, expect_generation, who)
    if output is Format.JSON:
        write_json(env, done._asdict())
        return ExitStatus.OK
    verb = 'Published' if done.changed else 'Nothing changed: it is'
    write_lines(env, (f'{verb} generation {done.generation}.',))
    return ExitStatus.OK
