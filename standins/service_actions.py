"""What the faults do to a request before and after its effect."""

import time
from collections.abc import Callable, Iterator, Mapping
from http import HTTPStatus
from types import MappingProxyType

from standins.http import (
    NOT_RUN_HEADERS,
    ConnectionClosedFault,
    ConnectionResetFault,
    ConnectionSilentFault,
    Reply,
    json_reply,
)
from standins.service_faults import Fault, FaultKind

CUT_BYTES = 3


def _delay(fault: Fault) -> None:
    time.sleep(fault.parameter)


def _silence(_fault: Fault) -> Reply:
    raise ConnectionSilentFault


def before_effect(fault: Fault | None) -> Reply | None:
    """Returns the reply of a fault that prevents the effect, if any."""
    if fault is None:
        return None
    action = _BEFORE.get(fault.kind)
    return action(fault) if action else None


def after_effect(fault: Fault | None, reply: Reply) -> Reply:
    """Returns the reply as a fault leaves it after the effect."""
    action = _AFTER.get(fault.kind) if fault else None
    return action(reply) if action else reply


def _refuse_not_run(_fault: Fault) -> Reply:
    return json_reply(
        HTTPStatus.SERVICE_UNAVAILABLE, {'error': 'not run'}, NOT_RUN_HEADERS
    )


def _reset(_reply: Reply) -> Reply:
    raise ConnectionResetFault


def _silence_after(_reply: Reply) -> Reply:
    raise ConnectionSilentFault


def _fail(_reply: Reply) -> Reply:
    return json_reply(
        HTTPStatus.INTERNAL_SERVER_ERROR, {'error': 'failed after its effect'}
    )


def _halve(reply: Reply) -> Reply:
    if isinstance(reply.body, bytes):
        length = ('Content-Length', str(len(reply.body)))
        half = reply.body[: len(reply.body) // 2]
        return reply._replace(body=_cut(half), headers=(length,))
    return reply._replace(body=_cut(next(reply.body)[:-CUT_BYTES]))


def _cut(half: bytes) -> Iterator[bytes]:
    yield half
    raise ConnectionClosedFault


_BEFORE: Mapping[FaultKind, Callable[[Fault], Reply | None]] = (
    MappingProxyType({
        FaultKind.SLOW: _delay,
        FaultKind.HANG: _silence,
        FaultKind.ERROR_NOT_RUN: _refuse_not_run,
    })
)
_AFTER: Mapping[FaultKind, Callable[[Reply], Reply]] = MappingProxyType({
    FaultKind.RESET_AFTER_EFFECT: _reset,
    FaultKind.HANG_AFTER_EFFECT: _silence_after,
    FaultKind.ERROR_AFTER_EFFECT: _fail,
    FaultKind.HALF_ANSWER: _halve,
})
