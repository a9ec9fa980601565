"""Errors of the inner protocol."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome


class CorruptRecordError(CactusledgeError):
    """Stored bytes are not a batch of records."""

    code = ErrorCode.CORRUPT_RECORD


class HistoryError(CactusledgeError):
    """A record does not follow its program's history: mixed or missing."""

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
        """Keeps the code of the refusal with the message."""
        super().__init__(message, remedy=remedy, retry_after_s=retry_after_s)
        self.code = code


class FencedError(CactusledgeError):
    """Another owner sealed the log: this writer must stop for good."""

    code = ErrorCode.FENCED
    outcome = Outcome.UNKNOWN


class JournalFullError(CactusledgeError):
    """The ring has no slot left that may be overwritten."""

    code = ErrorCode.OVERLOADED


class JournalBusyError(CactusledgeError):
    """The records that wait for the platform fill their byte limit."""

    code = ErrorCode.OVERLOADED


class JournalStoppedError(CactusledgeError):
    """The writer was stopped before the records became durable."""

    code = ErrorCode.STOPPING
    outcome = Outcome.UNKNOWN


class JournalFailedError(CactusledgeError):
    """The writer met an unexpected error and stopped for good."""

    outcome = Outcome.UNKNOWN
