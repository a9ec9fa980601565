"""Builds call specifications from callers' requests."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from cactusledge.models import CallKind, CallSpec
from cactusledge.programs.calls.prompt import max_prompt_tokens
from cactusledge.programs.errors import InvalidCallError, NotAllowedError
from cactusledge.programs.views import CallArgs
from cactusledge.protocol.calls import decode_body
from cactusledge.protocol.state import CallState, ProgramState
from cactusledge.settings.configuration import Configuration, Program

CHAT = 'chat'


class SpecInput(NamedTuple):
    """The request, program state and configuration that define a call."""

    args: CallArgs
    state: ProgramState
    program: Program
    config: Configuration


def build_spec(spec_input: SpecInput) -> CallSpec:
    """Returns the call with its target, idempotency and reserved budget.

    Raises:
        NotAllowedError: The program may not call this target.
        UnknownNameError: The model, service or operation is not published.
    """
    return _BUILDERS[spec_input.args.kind](spec_input)


def running_call_spec(program_id: str, call: CallState) -> CallSpec:
    """Rebuilds the specification of a call that the journal has as running."""
    return CallSpec(
        program_id=program_id,
        seq=call.seq,
        key=call.key,
        kind=call.kind,
        target=call.target,
        operation=call.operation,
        idempotent=call.idempotent,
        body=decode_body(call.body),
        reserve=call.reserve,
        max_output_tokens=call.max_output_tokens,
    )


def _model_spec(spec_input: SpecInput) -> CallSpec:
    args = spec_input.args
    name = args.target or spec_input.program.models[0]
    _require_listed(name, spec_input.program.models, 'model')
    if not args.body.get('messages'):
        raise InvalidCallError(
            'messages: a model call needs at least one message.',
            remedy='Send the new messages; the history is prepended to them.',
        )
    model = spec_input.config.model(name)
    limit = spec_input.program.max_output_tokens
    output_tokens = min(args.max_output_tokens or limit, limit)
    bound = max_prompt_tokens(
        spec_input.state,
        spec_input.program.common_prefix,
        args.body['messages'],
    )
    return _spec(
        args,
        name,
        CHAT,
        idempotent=True,
        reserve=(bound + output_tokens) * model.units_per_token,
        max_output_tokens=output_tokens,
    )


def _service_spec(spec_input: SpecInput) -> CallSpec:
    args = spec_input.args
    _require_listed(args.target, spec_input.program.services, 'service')
    operation = spec_input.config.service(args.target).operation(args.operation)
    return _spec(
        args,
        args.target,
        operation.name,
        idempotent=operation.idempotent,
        reserve=operation.cost,
    )


def _spec(
    args: CallArgs,
    target: str,
    operation: str,
    *,
    idempotent: bool,
    reserve: int,
    max_output_tokens: int = 0,
) -> CallSpec:
    body: Mapping[str, Any] = args.body
    return CallSpec(
        program_id=args.program_id,
        seq=args.seq,
        key=args.key,
        kind=args.kind,
        target=target,
        operation=operation,
        idempotent=idempotent,
        body=body,
        reserve=reserve,
        max_output_tokens=max_output_tokens,
    )


def _require_listed(
    name: str, allowed: tuple[str, ...], target_kind: str
) -> None:
    if name in allowed:
        return
    raise NotAllowedError(
        f'The program may not call the {target_kind} {name!r}.',
        remedy=f'Use one of {", ".join(allowed) or "none"}, or publish it.',
    )


_BUILDERS: Mapping[
    CallKind,
    Callable[[SpecInput], CallSpec],
] = MappingProxyType({
    CallKind.MODEL: _model_spec,
    CallKind.SERVICE: _service_spec,
})
