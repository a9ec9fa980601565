"""The `history` command: shows a program's calls."""

from typing import Annotated, Any

import typer

from cactusledge.cli.api_client import ApiClient
from cactusledge.cli.call import TOKEN_VARIABLE, Api
from cactusledge.cli.options import (
    Format,
    OutputFormat,
    get_environment,
    parse_addresses,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.status import ExitStatus

ProgramId = Annotated[str, typer.Argument(help='Program to show.')]


def command(
    ctx: typer.Context,
    program_id: ProgramId,
    api: Api = '127.0.0.1:8420',
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Show the calls of a program in their order.

    The token is read from CACTUSLEDGE_TOKEN.

    Example: cactusledge history addis-bole-1.5f1c09ab --format json
    """
    env = get_environment(ctx)
    client = ApiClient(
        parse_addresses(api, '--api')[0],
        env.environ.get(TOKEN_VARIABLE, ''),
    )
    document = client.get(f'/v1/programs/{program_id}/history')
    if output is Format.JSON:
        write_json(env, document)
    else:
        write_lines(env, [_format_call(call) for call in document['calls']])
    return ExitStatus.OK


def _format_call(call: dict[str, Any]) -> str:
    outcome = call['outcome'] or 'running'
    return (
        f'{call["seq"]:>4} {call["kind"]:<8}'
        f'{call["target"]}/{call["operation"]} '
        f'{outcome} {call["spent"]} units'
    )
