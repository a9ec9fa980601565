"""Errors of the program drivers."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome

PLATFORM_RETRY_S = 5.0


class NoSuchProgramError(CactusledgeError):
    """The program does not exist, or it belongs to another account."""

    code = ErrorCode.NOT_FOUND


class NotAllowedError(CactusledgeError):
    """The account or the program's definition does not allow this."""

    code = ErrorCode.FORBIDDEN


class InvalidCallError(CactusledgeError):
    """The call's request is not valid."""

    code = ErrorCode.BAD_REQUEST


class StoppingError(CactusledgeError):
    """The request cannot be accepted at the moment."""

    code = ErrorCode.STOPPING


class PlatformDownError(CactusledgeError):
    """The call is not sent, because its intent cannot be recorded now."""

    code = ErrorCode.STORE_UNAVAILABLE


class NoDriverError(CactusledgeError):
    """No instance drives the program at the moment."""

    code = ErrorCode.PEER_UNREACHABLE


class DriverUnreachableError(NoDriverError):
    """No driver could be reached, so the call's outcome is unknown."""

    outcome = Outcome.UNKNOWN


class MovingError(NoDriverError):
    """The program's driver is stopping; another instance takes it over."""

    code = ErrorCode.PEER_UNREACHABLE


class TooManyProgramsError(CactusledgeError):
    """The account has reached its limit of active programs."""

    code = ErrorCode.OVERLOADED


def no_such_program_error(program_id: str) -> NoSuchProgramError:
    """Returns the error for a program that was not found."""
    return NoSuchProgramError(
        f'There is no program {program_id!r}.',
        remedy='Use the program_id that the open request returned.',
    )


def platform_down_error() -> PlatformDownError:
    """Returns the error for a call that cannot be recorded now."""
    return PlatformDownError(
        'The platform cannot be reached; the call was not run.',
        remedy='Repeat it later with the same seq and key.',
        retry_after_s=PLATFORM_RETRY_S,
    )


def driver_unreachable_error(exc: NoDriverError) -> DriverUnreachableError:
    """Returns the error for a call whose driver could not be reached."""
    return DriverUnreachableError(
        exc.message,
        remedy='Repeat the call with the same seq and key for its outcome.',
        retry_after_s=exc.retry_after_s,
    )


def program_moved_error(program_id: str) -> DriverUnreachableError:
    """Returns the error for a call unanswered after its program moved."""
    return DriverUnreachableError(
        f'The program {program_id!r} moved to another instance.',
        remedy='Repeat the call with the same seq and key for its outcome.',
        retry_after_s=PLATFORM_RETRY_S,
    )
