"""Errors of the object API's client beyond the shared ones."""

from cactusledge.errors import ErrorCode, StoreError, StoreUnavailableError


class StoreTooLargeError(StoreError):
    """The object is larger than the platform takes; nothing was written."""

    code = ErrorCode.TOO_LARGE


class StoreRefusedError(StoreError):
    """The platform refused the request as malformed or not permitted."""

    code = ErrorCode.BAD_REQUEST


class StoreSilentError(StoreUnavailableError):
    """A watch delivered neither an event nor a bookmark in time."""
