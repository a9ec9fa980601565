"""WSGI application: routes requests and returns errors as JSON."""

import re
import time
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, NamedTuple

from opentelemetry.trace import SpanKind

from cactusledge.api import handlers
from cactusledge.api.body_memory import BodyMemory
from cactusledge.api.errors import (
    NotFoundError,
    error_document,
    http_status,
    retry_headers,
)
from cactusledge.api.http import (
    Request,
    Response,
    StartResponse,
    json_response,
    read_request,
    send_response,
)
from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome
from cactusledge.telemetry.logs import get_logger

Handler = Callable[[handlers.ApiContext, Request], Response]

PROGRAM_PATH = r'/v1/programs/(?P<program_id>[^/]+)'
ROUTES: Mapping[tuple[str, str], Handler] = MappingProxyType({
    ('POST', '/v1/programs'): handlers.open_program,
    ('GET', PROGRAM_PATH): handlers.view_program,
    ('POST', f'{PROGRAM_PATH}/calls'): handlers.make_call,
    ('GET', f'{PROGRAM_PATH}/history'): handlers.read_history,
    ('POST', f'{PROGRAM_PATH}/end'): handlers.end_program,
    ('GET', '/livez'): handlers.liveness,
    ('GET', '/readyz'): handlers.readiness,
    ('GET', '/status'): handlers.instance_status,
    ('GET', '/metrics'): handlers.metrics,
    ('GET', '/openapi.json'): handlers.openapi,
})


class InternalError(CactusledgeError):
    """An unexpected exception; whether the request ran is unknown."""

    code = ErrorCode.INTERNAL
    outcome = Outcome.UNKNOWN


class MethodNotAllowedError(CactusledgeError):
    """The path exists but does not support this method."""

    code = ErrorCode.BAD_REQUEST


class _Route(NamedTuple):
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class ApiApp:
    """WSGI application that serves the caller API and the status API."""

    def __init__(
        self,
        ctx: handlers.ApiContext,
        max_body_bytes: int,
        memory: BodyMemory | None = None,
    ) -> None:
        """Compiles the route patterns."""
        self._memory = memory or BodyMemory()
        self._ctx = ctx
        self._max_body_bytes = max_body_bytes
        self._log = get_logger('api')
        self._routes = tuple(
            _Route(method, re.compile(pattern), handler)
            for (method, pattern), handler in ROUTES.items()
        )

    def __call__(
        self,
        environ: Mapping[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handles one request."""
        started_s = time.monotonic()
        try:
            response = self._respond(environ)
        except CactusledgeError as exc:
            self._ctx.metrics.add('calls_refused_total', code=str(exc.code))
            response = _error_response(exc)
        except Exception:
            self._log.exception('Unhandled exception while serving a request.')
            response = _error_response(_internal_error())
        self._record_metrics(environ, response, started_s)
        return send_response(response, start_response)

    def _respond(self, environ: Mapping[str, Any]) -> Response:
        with self._memory.holding() as held:
            req = read_request(environ, self._max_body_bytes, held)
            return self._serve(req)

    def _serve(self, req: Request) -> Response:
        route, path_args = self._find_route(req)
        with self._ctx.traces.span(
            f'{route.method} {route.pattern.pattern}',
            req.headers,
            kind=SpanKind.SERVER,
            **path_args,
        ):
            return route.handler(self._ctx, req._replace(path_args=path_args))

    def _record_metrics(
        self,
        environ: Mapping[str, Any],
        response: Response,
        started_s: float,
    ) -> None:
        """Records count and duration; a streamed body is not timed."""
        route = str(environ['REQUEST_METHOD'])
        metrics = self._ctx.metrics
        status = str(response.status.value)
        metrics.add('http_requests_total', route=route, status=status)
        duration_s = time.monotonic() - started_s
        metrics.observe('http_request_seconds', duration_s, route=route)

    def _find_route(self, req: Request) -> tuple[_Route, Mapping[str, str]]:
        path_exists = False
        for route in self._routes:
            match = route.pattern.fullmatch(req.path)
            path_exists = path_exists or match is not None
            if match is not None and route.method == req.method:
                return route, match.groupdict()
        if path_exists:
            raise MethodNotAllowedError(
                f'{req.path} does not support {req.method}.',
                remedy='Compare the request with GET /openapi.json.',
            )
        raise NotFoundError(
            f'No resource exists at {req.path}.',
            remedy='Compare the path with GET /openapi.json.',
        )


def _error_response(exc: CactusledgeError) -> Response:
    status = http_status(str(exc.code))
    if isinstance(exc, MethodNotAllowedError):
        status = HTTPStatus.METHOD_NOT_ALLOWED
    headers = retry_headers(exc.retry_after_s)
    return json_response(error_document(exc), status, headers)


def _internal_error() -> InternalError:
    return InternalError(
        'The request failed with an internal error.',
        remedy='Retry with the same key, and report the logged exception.',
        retry_after_s=1,
    )
