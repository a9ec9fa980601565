"""Errors of the caller API and their HTTP responses."""

import math
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Answer, Outcome

STATUS_BY_CODE = MappingProxyType({
    ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    ErrorCode.FORBIDDEN: HTTPStatus.FORBIDDEN,
    ErrorCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    ErrorCode.SEQUENCE_GAP: HTTPStatus.CONFLICT,
    ErrorCode.SEQUENCE_CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.PROGRAM_ENDED: HTTPStatus.GONE,
    ErrorCode.BUDGET_EXCEEDED: HTTPStatus.PAYMENT_REQUIRED,
    ErrorCode.TURN_LIMIT: HTTPStatus.PAYMENT_REQUIRED,
    ErrorCode.TIME_LIMIT: HTTPStatus.PAYMENT_REQUIRED,
    ErrorCode.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
    ErrorCode.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    ErrorCode.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    ErrorCode.ENDPOINT_REFUSED: HTTPStatus.BAD_GATEWAY,
    ErrorCode.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    ErrorCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
})


class BadRequestError(CactusledgeError):
    """The request is malformed."""

    code = ErrorCode.BAD_REQUEST


class TooLargeError(CactusledgeError):
    """The request body exceeds the size limit."""

    code = ErrorCode.TOO_LARGE


class UnauthorizedError(CactusledgeError):
    """The bearer token does not belong to any account."""

    code = ErrorCode.UNAUTHORIZED


class NotFoundError(CactusledgeError):
    """No resource exists at this path."""

    code = ErrorCode.NOT_FOUND


def http_status(code: str) -> HTTPStatus:
    """Returns the HTTP status for an error code; 503 if not listed."""
    known = {str(name): status for name, status in STATUS_BY_CODE.items()}
    return known.get(code, HTTPStatus.SERVICE_UNAVAILABLE)


def error_document(exc: CactusledgeError) -> dict[str, Any]:
    """Returns the JSON document that describes an error."""
    return {
        'error': {
            'code': str(exc.code),
            'message': exc.message,
            'remedy': exc.remedy,
            'outcome': str(exc.outcome),
            'retry_after_s': exc.retry_after_s,
        },
    }


def retry_headers(
    retry_after_s: float | None,
) -> tuple[tuple[str, str], ...]:
    """Returns the Retry-After header in whole seconds, rounded up."""
    if retry_after_s is None:
        return ()
    return (('Retry-After', str(max(1, math.ceil(retry_after_s)))),)


def answer_status(answer: Answer) -> HTTPStatus:
    """Returns the HTTP status for a call's final answer."""
    if answer.outcome is Outcome.RAN and not answer.code:
        return HTTPStatus.OK
    return http_status(answer.code)
