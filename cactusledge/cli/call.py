"""The `call` command: opens a program or makes its next call."""

import json
import uuid
from types import MappingProxyType
from typing import Annotated, Any

import typer

from cactusledge.cli.api_client import ApiClient, stream_broken_error
from cactusledge.cli.options import (
    Format,
    OutputFormat,
    get_environment,
    parse_addresses,
)
from cactusledge.cli.output import write_json, write_lines
from cactusledge.environment import Environment
from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome
from cactusledge.status import ExitStatus

TOKEN_VARIABLE = 'CACTUSLEDGE_TOKEN'

Api = Annotated[
    str,
    typer.Option(metavar='HOST:PORT', help='Caller API of an instance.'),
]
Target = Annotated[
    str,
    typer.Argument(help='PROGRAM_ID, or open:DEFINITION for a new program.'),
]
Text = Annotated[str, typer.Argument(help='Message to the model.')]
ServiceName = Annotated[
    str,
    typer.Option('--service', help='SERVICE/OPERATION to call instead.'),
]
Arguments = Annotated[
    str,
    typer.Option('--arguments', help='JSON object for the service.'),
]

EXIT_BY_OUTCOME = MappingProxyType({
    Outcome.RAN: ExitStatus.OK,
    Outcome.NOT_RUN: ExitStatus.REFUSED,
    Outcome.UNKNOWN: ExitStatus.UNKNOWN_OUTCOME,
})


class InvalidArgumentsError(CactusledgeError):
    """The arguments of a service call are not a JSON object."""

    code = ErrorCode.BAD_REQUEST


def command(
    ctx: typer.Context,
    program: Target,
    message: Text = '',
    api: Api = '127.0.0.1:8420',
    service: ServiceName = '',
    arguments: Arguments = '{}',
    output: OutputFormat = Format.TEXT,
) -> ExitStatus:
    """Open a program and make a call; the answer is streamed.

    The token is read from CACTUSLEDGE_TOKEN.

    Example: cactusledge call open:itinerary 'Plan Tuesday.'

    Example: cactusledge call PROGRAM_ID --service booking/availability
    """
    env = get_environment(ctx)
    client = ApiClient(
        parse_addresses(api, '--api')[0],
        env.environ.get(TOKEN_VARIABLE, ''),
    )
    program_id = _program_id(client, program)
    if output is Format.TEXT:
        write_lines(env, (f'program {program_id}',))
    if not message and not service:
        return ExitStatus.OK
    answer = _make_call(
        env if output is Format.TEXT else None,
        client,
        program_id,
        _call_body(message, service, arguments),
    )
    _write_answer(env, answer, output)
    return EXIT_BY_OUTCOME[Outcome(answer['outcome'])]


def _program_id(client: ApiClient, program: str) -> str:
    text_before, _, definition = program.partition('open:')
    if text_before:
        return program
    opened = client.post(
        '/v1/programs',
        {'definition': definition, 'key': uuid.uuid4().hex},
    )
    return str(opened['program_id'])


def _call_body(message: str, service: str, arguments: str) -> dict[str, Any]:
    if not service:
        messages = [{'role': 'user', 'content': message}]
        return {'kind': 'model', 'messages': messages}
    target, _, operation = service.partition('/')
    return {
        'kind': 'service',
        'target': target,
        'operation': operation,
        'arguments': _parse_arguments(arguments),
    }


def _parse_arguments(text: str) -> dict[str, Any]:
    try:
        parsed = json.loads(text)
    except ValueError:
        parsed = None
    if not isinstance(parsed, dict):
        raise InvalidArgumentsError(
            '--arguments is not a JSON object.',
            remedy='Write one, such as {"slot": 3}.',
        )
    return parsed


def _make_call(
    env: Environment | None,
    client: ApiClient,
    program_id: str,
    body: dict[str, Any],
) -> dict[str, Any]:
    """Makes the call; writes its text as it arrives if `env` is given."""
    view = client.get(f'/v1/programs/{program_id}')
    document = {
        **body,
        'seq': view['next_seq'],
        'key': uuid.uuid4().hex,
        'stream': True,
    }
    answer: dict[str, Any] = {}
    for name, event in client.stream(
        f'/v1/programs/{program_id}/calls',
        document,
    ):
        if name == 'answer':
            answer = event
        elif env is not None:
            env.stdout.write(event['text'])
            env.stdout.flush()
    if not answer:
        raise stream_broken_error()
    return answer


def _write_answer(
    env: Environment,
    answer: dict[str, Any],
    output: Format,
) -> None:
    if output is Format.JSON:
        write_json(env, answer)
        return
    body = answer['body']
    lines = [''] if 'text' in body else [json.dumps(body)]
    lines.append(f'{answer["outcome"]}, {answer["spent"]} units')
    if answer['remedy']:
        lines.append(answer['remedy'])
    write_lines(env, lines)
