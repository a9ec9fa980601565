"""The `plan` command: shows what publishing would change."""

import json
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

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
from cactusledge.settings.plan import Action, Change, plan
from cactusledge.settings.published import read_published
from cactusledge.status import ExitStatus

SIGNS: Mapping[Action, str] = MappingProxyType({
    Action.ADD: '+',
    Action.CHANGE: '~',
    Action.REMOVE: '-',
})


def command(
    ctx: typer.Context,
    paths: Paths,
    platform: Platform = '',
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Show what publishing the files would change.

    Example: cactusledge plan services/ --platform 127.0.0.1:8400
    """
    env = get_environment(ctx)
    wanted = collect(paths)
    published = read_published(open_platform(env, platform))
    changes = plan(published.definitions, wanted.merged)
    if output is Format.JSON:
        write_json(env, _document(published.generation, changes))
    else:
        write_lines(env, _format_changes(published.generation, changes))
    return ExitStatus.OK


def _document(generation: int, changes: tuple[Change, ...]) -> dict[str, Any]:
    change_documents = [
        {
            **change._asdict(),
            'fields': [field._asdict() for field in change.fields],
        }
        for change in changes
    ]
    return {'generation': generation, 'changes': change_documents}


def _format_changes(
    generation: int, changes: tuple[Change, ...]
) -> Iterator[str]:
    for change in changes:
        yield f'{SIGNS[change.action]} {change.kind} {change.name}'
        for field in change.fields:
            old, new = json.dumps(field.old), json.dumps(field.new)
            yield f'    {field.field}: {old} -> {new}'
        if change.warning:
            yield f'    warning: {change.warning}'
    yield f'Changes to generation {generation}: {len(changes)}.'
    if changes:
        yield f'Publish them with --expect-generation {generation}.'
