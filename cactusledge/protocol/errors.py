"""Errors of the core protocol."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome


class CorruptRecordError(CactusledgeError):
    """Stored bytes cannot be decoded as a batch of records."""

    code = ErrorCode.CORRUPT_RECORD


class HistoryError(CactusledgeError):
    """A program's history has missing records or those of another branch."""

    code = ErrorCode.CORRUPT_RECORD


class RefusedCallError(CactusledgeError):
    """A call was refused before anything was sent."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        remedy: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Stores the code of the refusal with the message."""
        super().__init__(message, remedy=remedy, retry_after_s=retry_after_s)
        self.code = code


class FencedError(CactusledgeError):
    """Another owner sealed the log; this writer must stop permanently."""

    code = ErrorCode.FENCED
    outcome = Outcome.UNKNOWN


class JournalFullError(CactusledgeError):
    """The ring has no slot that may be overwritten."""

    code = ErrorCode.OVERLOADED


class JournalBusyError(CactusledgeError):
    """The records waiting to be written have reached their byte limit."""

    code = ErrorCode.OVERLOADED


class JournalStoppedError(CactusledgeError):
    """The writer was stopped before the records became durable."""

    code = ErrorCode.STOPPING
    outcome = Outcome.UNKNOWN


class JournalFailedError(CactusledgeError):
    """The writer stopped permanently after an unexpected error."""

    outcome = Outcome.UNKNOWN
