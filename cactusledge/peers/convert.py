"""Conversion between messages and the generated thrift classes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome
from cactusledge.peers import messages
from cactusledge.peers.errors import PeerCallError
from cactusledge.peers.thrift import ttypes

MESSAGES: tuple[type[Any], ...] = (
    messages.MemberView,
    messages.MemberDigest,
    messages.Heartbeat,
    messages.HeartbeatReply,
    messages.ForwardedCall,
    messages.CallHandle,
    messages.CallEvent,
    messages.EventBatch,
    messages.OpenRequest,
    messages.EndRequest,
    messages.ProgramReply,
    messages.HistoryRequest,
    messages.HistoryReply,
    messages.GrantRequest,
    messages.GrantReply,
    messages.GrantFinish,
    messages.ProgramEvent,
    messages.HeldBatch,
    messages.ConfigReply,
)
ClassMap = Mapping[type[Any], type[Any]]

THRIFT_CLASSES: ClassMap = MappingProxyType({
    message: getattr(ttypes, message.__name__) for message in MESSAGES
})
MESSAGE_CLASSES: ClassMap = MappingProxyType({
    thrift: message for message, thrift in THRIFT_CLASSES.items()
})
OUTCOMES: Mapping[Outcome, int] = MappingProxyType({
    Outcome.NOT_RUN: ttypes.Outcome.NOT_RUN,
    Outcome.RAN: ttypes.Outcome.RAN,
    Outcome.UNKNOWN: ttypes.Outcome.UNKNOWN,
})
OUTCOMES_BY_NUMBER: Mapping[int, Outcome] = MappingProxyType({
    number: outcome for outcome, number in OUTCOMES.items()
})


def to_thrift(item: Any) -> Any:
    """Converts a message, or a field of one, to its thrift form."""
    thrift = THRIFT_CLASSES.get(type(item))
    if thrift is not None:
        return thrift(*[to_thrift(part) for part in item])
    if isinstance(item, tuple):
        return [to_thrift(part) for part in item]
    return item


def from_thrift(item: Any) -> Any:
    """Converts a thrift struct, or a field of one, to a message."""
    message = MESSAGE_CLASSES.get(type(item))
    if message is not None:
        return read_fields(message, item)
    if isinstance(item, list):
        return tuple(from_thrift(part) for part in item)
    return item


def read_fields(message: type[Any], struct: Any) -> Any:
    """Builds a message from the fields of a thrift struct."""
    fields = [from_thrift(getattr(struct, name)) for name in message._fields]
    decoded = message(*fields)
    if isinstance(decoded, messages.ProgramEvent):
        return decoded._replace(kind=messages.ProgramEventKind(decoded.kind))
    return decoded


def error_to_thrift(exc: Exception) -> ttypes.PeerError:
    """Converts an error to thrift; an unexpected one becomes INTERNAL."""
    if not isinstance(exc, CactusledgeError):
        exc = internal_error(exc)
    return ttypes.PeerError(
        code=str(exc.code),
        message=exc.message,
        remedy=exc.remedy,
        outcome=OUTCOMES[exc.outcome],
        retry_after_s=exc.retry_after_s,
    )


def error_from_thrift(error: ttypes.PeerError) -> PeerCallError:
    """Converts a peer's error; an unknown code becomes INTERNAL."""
    known = error.code in frozenset(ErrorCode)
    return PeerCallError(
        ErrorCode(error.code) if known else ErrorCode.INTERNAL,
        error.message,
        remedy=error.remedy,
        outcome=OUTCOMES_BY_NUMBER[error.outcome],
        retry_after_s=error.retry_after_s,
    )


def internal_error(exc: Exception) -> PeerCallError:
    """Returns the error for an unexpected exception in a handler."""
    return PeerCallError(
        ErrorCode.INTERNAL,
        f'Unexpected error while the peer handled the message'
        f' ({type(exc).__name__}).',
        remedy='Check the log of that instance.',
        outcome=Outcome.UNKNOWN,
    )
