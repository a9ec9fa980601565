"""Request handlers of the API, one function per route."""

import time
from http import HTTPStatus
from typing import NamedTuple

from cactusledge.api.errors import (
    UnauthorizedError,
    answer_status,
    retry_headers,
)
from cactusledge.api.events import answer_document, stream_events
from cactusledge.api.http import (
    EVENT_STREAM_TYPE,
    Request,
    Response,
    json_response,
)
from cactusledge.api.requests import CallBody, EndBody, OpenBody, parse_body
from cactusledge.api.service import (
    AccountLookup,
    InstanceReport,
    ProgramService,
)
from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import CallKind, Outcome
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.views import CallArgs, OpenArgs, ProgramView
from cactusledge.telemetry.metrics import Metrics
from cactusledge.telemetry.traces import Traces

BEARER = 'bearer '
METRICS_TYPE = 'text/plain; version=0.0.4'


class StillRunningError(CactusledgeError):
    """The request timed out while the call is still running."""

    code = ErrorCode.DEADLINE_EXCEEDED
    outcome = Outcome.UNKNOWN


class ApiContext(NamedTuple):
    """Dependencies and settings of the handlers."""

    programs: ProgramService
    report: InstanceReport
    find_account: AccountLookup
    call_timeout_s: float
    openapi: bytes
    metrics: Metrics
    traces: Traces


def open_program(ctx: ApiContext, req: Request) -> Response:
    """Opens a program: `POST /v1/programs`."""
    account = _authenticate(ctx, req)
    body = parse_body(req.body, OpenBody)
    view = ctx.programs.open_program(
        OpenArgs(
            account=account,
            definition=body.definition,
            key=body.key,
            parent=body.parent or '',
            budget=body.budget or 0,
        ),
    )
    return json_response(view._asdict(), HTTPStatus.CREATED)


def make_call(ctx: ApiContext, req: Request) -> Response:
    """Makes a call: `POST /v1/programs/{program_id}/calls`."""
    account = _authenticate(ctx, req)
    body = parse_body(req.body, CallBody)
    deadline_s = time.monotonic() + ctx.call_timeout_s
    stream = ctx.programs.call(_call_args(ctx, account, req, body))
    if body.stream:
        return Response(
            HTTPStatus.OK,
            stream_events(stream, deadline_s),
            content_type=EVENT_STREAM_TYPE,
            headers=(('Cache-Control', 'no-store'),),
        )
    return _buffered_answer(stream, ctx.call_timeout_s)


def view_program(ctx: ApiContext, req: Request) -> Response:
    """Returns a program's state: `GET /v1/programs/{program_id}`."""
    view = ctx.programs.view(_authenticate(ctx, req), _program_id(req))
    return json_response(view._asdict())


def read_history(ctx: ApiContext, req: Request) -> Response:
    """Returns a program's calls: `GET /v1/programs/{program_id}/history`."""
    entries = ctx.programs.history(_authenticate(ctx, req), _program_id(req))
    return json_response({'calls': [entry._asdict() for entry in entries]})


def end_program(ctx: ApiContext, req: Request) -> Response:
    """Ends a program: `POST /v1/programs/{program_id}/end`."""
    account = _authenticate(ctx, req)
    body = parse_body(req.body, EndBody)
    view: ProgramView = ctx.programs.end_program(
        account,
        _program_id(req),
        body.reason,
    )
    return json_response(view._asdict())


def liveness(ctx: ApiContext, req: Request) -> Response:
    """Confirms that the process responds: `GET /livez`."""
    return json_response({'live': True})


def readiness(ctx: ApiContext, req: Request) -> Response:
    """Reports whether the instance accepts requests: `GET /readyz`."""
    is_ready = ctx.report.is_ready()
    status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
    return json_response({'ready': is_ready}, status)


def instance_status(ctx: ApiContext, req: Request) -> Response:
    """Returns the instance's state: `GET /status`."""
    return json_response(ctx.report.status())


def metrics(ctx: ApiContext, req: Request) -> Response:
    """Returns the instance's metrics: `GET /metrics`."""
    return Response(
        HTTPStatus.OK,
        [ctx.report.metrics_text()],
        content_type=METRICS_TYPE,
    )


def openapi(ctx: ApiContext, req: Request) -> Response:
    """Returns the OpenAPI document: `GET /openapi.json`."""
    return Response(HTTPStatus.OK, [ctx.openapi])


def _buffered_answer(stream: CallStream, timeout_s: float) -> Response:
    answer = stream.wait(timeout_s)
    if answer is None:
        raise StillRunningError(
            'The call is still running.',
            remedy='Repeat the request with the same seq and key to join it.',
            retry_after_s=1,
        )
    return json_response(
        answer_document(answer),
        answer_status(answer),
        retry_headers(answer.retry_after_s),
    )


def _call_args(
    ctx: ApiContext,
    account: str,
    req: Request,
    body: CallBody,
) -> CallArgs:
    kind = CallKind(body.kind)
    documents = {
        CallKind.MODEL: {'messages': body.messages},
        CallKind.SERVICE: body.arguments,
    }
    return CallArgs(
        account=account,
        program_id=_program_id(req),
        seq=body.seq,
        key=body.key,
        kind=kind,
        target=body.target,
        operation=body.operation,
        body=documents[kind],
        max_output_tokens=body.max_output_tokens or 0,
        traceparent=ctx.traces.headers().get('traceparent', ''),
    )


def _program_id(req: Request) -> str:
    return req.path_args['program_id']


def _authenticate(ctx: ApiContext, req: Request) -> str:
    header = req.header('authorization')
    token = header[len(BEARER) :] if header.lower().startswith(BEARER) else ''
    account = ctx.find_account(token) if token else None
    if account is None:
        raise UnauthorizedError(
            'The bearer token is missing or unknown.',
            remedy='Send Authorization: Bearer with a configured token.',
        )
    return account
