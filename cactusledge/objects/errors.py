"""Errors that only clients of the object API raise."""

from cactusledge.errors import ErrorCode, StoreError, StoreUnavailableError


class StoreTooLargeError(StoreError):
    """The object exceeds the platform's size limit; nothing was written."""

    code = ErrorCode.TOO_LARGE


class StoreRefusedError(StoreError):
    """The platform rejected the request as malformed or not permitted."""

    code = ErrorCode.BAD_REQUEST


class StoreSilentError(StoreUnavailableError):
    """A watch broke, or sent neither an event nor a bookmark in time."""
