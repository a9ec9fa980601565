"""Conversion between our messages and thrift's classes."""

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
THRIFT_CLASSES: Mapping[type[Any], type[Any]] = MappingProxyType({
    message: getattr(ttypes, message.__name__) for message in MESSAGES
})
MESSAGE_CLASSES: Mapping[type[Any], type[Any]] = MappingProxyType({
    thrift: message for message, thrift in THRIFT_CLASSES.items()
})
ENUM_FIELDS: Mapping[type[Any], Mapping[str, type[Any]]] = MappingProxyType({
    messages.ProgramEvent: {'kind': messages.ProgramEventKind},
})


def to_thrift(item: Any) -> Any:
    """Returns thrift's form of a message or of a message's field."""
    thrift = THRIFT_CLASSES.get(type(item))
    if thrift is not None:
        return thrift(*[to_thrift(part) for part in item])
    if isinstance(item, tuple):
        return [to_thrift(part) for part in item]
    return item


def from_thrift(item: Any) -> Any:
    """Returns our form of a thrift struct or of its field."""
    message = MESSAGE_CLASSES.get(type(item))
    if message is not None:
        return read_fields(message, item)
    if isinstance(item, list):
        return tuple(from_thrift(part) for part in item)
    return item


def read_fields(message: type[Any], struct: Any) -> Any:
    """Returns the message with the fields of a thrift struct."""
    fields = {
        name: from_thrift(getattr(struct, name)) for name in message._fields
    }
    for name, enum_type in ENUM_FIELDS.get(message, {}).items():
        fields[name] = enum_type(fields[name])
    return message(**fields)


def error_to_thrift(exc: Exception) -> ttypes.PeerError:
    """Returns thrift's form of an error; an unforeseen one is internal."""
    if not isinstance(exc, CactusledgeError):
        exc = internal_error(exc)
    return ttypes.PeerError(
        code=str(exc.code),
        message=exc.message,
        remedy=exc.remedy,
        outcome=ttypes.Outcome._NAMES_TO_VALUES[exc.outcome.name],
        retry_after_s=exc.retry_after_s,
    )


def error_from_thrift(error: ttypes.PeerError) -> PeerCallError:
    """Returns the error that a peer reported; unknown codes are internal."""
    known = error.code in frozenset(ErrorCode)
    return PeerCallError(
        ErrorCode(error.code) if known else ErrorCode.INTERNAL,
        error.message,
        remedy=error.remedy,
        outcome=Outcome(ttypes.Outcome._VALUES_TO_NAMES[error.outcome]),
        retry_after_s=error.retry_after_s,
    )


def internal_error(exc: Exception) -> PeerCallError:
    """Returns the error for an exception that no handler foresaw."""
    return PeerCallError(
        ErrorCode.INTERNAL,
        f'The instance failed while it handled the message'
        f' ({type(exc).__name__}).',
        remedy='Look up the failure in the log of that instance.',
        outcome=Outcome.UNKNOWN,
    )
