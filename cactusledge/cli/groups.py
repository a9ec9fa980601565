"""The `groups` command: tells what each group of record stores bears."""

from collections.abc import Iterator, Sequence
from typing import Annotated, Any

import typer

from cactusledge.cli.options import (
    REQUEST_TIMEOUT_S,
    Format,
    OutputFormat,
    get_environment,
    parse_addresses,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.cli.store_metrics import (
    GroupState,
    StoreState,
    fetch_state,
    group_states,
)
from cactusledge.status import ExitStatus

Stores = Annotated[
    str,
    typer.Argument(
        metavar='HOST:PORT[,...]', help='Where the stores serve metrics.'
    ),
]


def command(
    ctx: typer.Context, stores: Stores, output: OutputFormat = Format.TEXT
) -> ExitStatus:
    """Tell how many further losses each group of stores bears.

    It fails while a group bears none or a store does not answer: take no store
    away then, and wipe no disk.

    Example: cactusledge groups 10.1.0.4:9100,10.1.0.5:9100,10.1.0.6:9100
    """
    env = get_environment(ctx)
    addresses = parse_addresses(stores, 'HOST:PORT')
    states = [fetch_state(address, REQUEST_TIMEOUT_S) for address in addresses]
    groups = group_states(states)
    silent = [state for state in states if state.problem]
    if output is Format.JSON:
        write_json(env, _document(groups, silent))
    else:
        write_lines(env, _format(groups, silent))
    is_safe = not silent and all(group.losses_borne for group in groups)
    return ExitStatus.OK if is_safe else ExitStatus.ERROR


def _document(
    groups: Sequence[GroupState], silent: Sequence[StoreState]
) -> dict[str, Any]:
    return {
        'groups': [group._asdict() for group in groups],
        'silent': {state.address: state.problem for state in silent},
    }


def _format(
    groups: Sequence[GroupState], silent: Sequence[StoreState]
) -> Iterator[str]:
    for group in groups:
        yield _format_group(group)
    for state in silent:
        yield f'{state.address}: no answer ({state.problem})'


def _format_group(group: GroupState) -> str:
    generations = ', '.join(map(str, group.generations))
    parts = [
        f'shard {group.shard}: bears {group.losses_borne} further losses',
        f'{group.stores} stores, generation {generations}',
        f'{group.unconfirmed_texts} texts may lack a copy',
    ]
    if group.incomplete:
        parts.append(f'incomplete: {", ".join(group.incomplete)}')
    return '; '.join(parts)
