"""Errors for calls that routing refused; none of the calls ran."""

from types import MappingProxyType

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.routing.types import Refusal, RefusalReason


class OverloadedError(CactusledgeError):
    """No engine can accept the call soon enough."""

    code = ErrorCode.OVERLOADED


class DeadlineExceededError(OverloadedError):
    """The program's deadline leaves too little time for the call."""

    code = ErrorCode.DEADLINE_EXCEEDED


class NoEngineError(OverloadedError):
    """No engine of the group accepts new calls."""

    code = ErrorCode.NO_ENDPOINT


class DispatcherStoppingError(OverloadedError):
    """The instance is stopping or no longer owns the group."""

    code = ErrorCode.STOPPING


_ERROR_CLASSES = MappingProxyType({
    RefusalReason.OVERLOADED: OverloadedError,
    RefusalReason.RETRY_BUDGET: OverloadedError,
    RefusalReason.DEADLINE: DeadlineExceededError,
    RefusalReason.NO_ENGINE: NoEngineError,
})
_REMEDIES = MappingProxyType({
    RefusalReason.OVERLOADED: 'Retry after the given delay.',
    RefusalReason.RETRY_BUDGET: 'Retry after the given delay.',
    RefusalReason.DEADLINE: 'Start the program with a later deadline.',
    RefusalReason.NO_ENGINE: 'Use another engine group or wait for an engine.',
})


def refusal_error(refusal: Refusal) -> OverloadedError:
    """Returns the error that reports a refusal."""
    reason = refusal.reason
    return _ERROR_CLASSES[reason](
        f'The call was not run: {reason.value}.',
        remedy=_REMEDIES[reason],
        retry_after_s=refusal.retry_after_s,
    )


def stopping_error() -> DispatcherStoppingError:
    """Returns the error for a call whose queue is no longer held here."""
    return DispatcherStoppingError(
        'The call was not run: this instance does not own the engine group.',
        remedy='Send it to the current owner of the engine group.',
        retry_after_s=0,
    )
