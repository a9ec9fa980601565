"""Maps HTTP statuses of the object API to errors."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreNotFoundError,
    StoreUnavailableError,
    StoreVersionGoneError,
)
from cactusledge.objects.errors import StoreRefusedError, StoreTooLargeError
from cactusledge.objects.replies import Reply

FIRST_SUCCESS = 200
FIRST_ERROR = 300
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500


class StatusError(NamedTuple):
    """The error for one HTTP status."""

    error: type[StoreError]
    message: str
    remedy: str


STATUS_ERRORS: Mapping[int, StatusError] = MappingProxyType({
    404: StatusError(
        StoreNotFoundError,
        'does not exist',
        'Create it first or check its name.',
    ),
    409: StatusError(
        StoreConflictError,
        'was changed by another writer',
        'Read it again and repeat the change if it still applies.',
    ),
    410: StatusError(
        StoreVersionGoneError,
        'no longer has that version in its history',
        'List the objects again and watch from the version of the list.',
    ),
    413: StatusError(
        StoreTooLargeError,
        'exceeds the size limit of the platform',
        'Split it into smaller objects.',
    ),
    429: StatusError(
        StoreUnavailableError,
        'was rejected because of too many requests',
        'Try again after the time given.',
    ),
    503: StatusError(
        StoreUnavailableError,
        'was rejected because the platform is unavailable',
        'Try again later; nothing was written.',
    ),
})
REFUSED = StatusError(
    StoreRefusedError,
    'was rejected by the platform',
    'Check the object and the permissions of this instance.',
)
UNKNOWN_OUTCOME = StatusError(
    StoreAnswerLostError,
    'got a response that does not show whether it was executed',
    'Read the object back before writing it again.',
)


def check_status(subject: str, reply: Reply) -> None:
    """Raises the error for the status unless it is a success."""
    if FIRST_SUCCESS <= reply.status < FIRST_ERROR:
        return
    status_error = STATUS_ERRORS.get(reply.status)
    if status_error is None:
        refused = FIRST_CLIENT_ERROR <= reply.status < FIRST_SERVER_ERROR
        status_error = REFUSED if refused else UNKNOWN_OUTCOME
    raise store_error(status_error, subject, reply.retry_after_s)


def as_unavailable(exc: StoreError) -> StoreUnavailableError:
    """Converts the error of a read, for which a lost response is harmless."""
    return StoreUnavailableError(
        exc.message,
        remedy='Try again later.',
        retry_after_s=exc.retry_after_s,
    )


def store_error(
    status_error: StatusError,
    subject: str,
    retry_after: float | None,
) -> StoreError:
    """Returns the error with the object's path in its message."""
    return status_error.error(
        f'{subject} {status_error.message}.',
        remedy=status_error.remedy,
        retry_after_s=retry_after,
    )
