"""Base exceptions, with stable codes and remedies for the reader."""

import enum

from cactusledge.models import Outcome


class ErrorCode(enum.StrEnum):
    """Stable codes of the errors that callers and operators see."""

    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    TOO_LARGE = 'too_large'
    TOO_SLOW = 'too_slow'
    SEQUENCE_GAP = 'sequence_gap'
    SEQUENCE_CONFLICT = 'sequence_conflict'
    PROGRAM_ENDED = 'program_ended'
    BUDGET_EXCEEDED = 'budget_exceeded'
    TURN_LIMIT = 'turn_limit'
    TIME_LIMIT = 'time_limit'
    OVERLOADED = 'overloaded'
    STOPPING = 'stopping'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    ENDPOINT_REFUSED = 'endpoint_refused'
    ENDPOINT_FAILED = 'endpoint_failed'
    NO_ENDPOINT = 'no_endpoint'
    STORE_CONFLICT = 'store_conflict'
    STORE_NOT_FOUND = 'store_not_found'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_ANSWER_LOST = 'store_answer_lost'
    STORE_VERSION_GONE = 'store_version_gone'
    FENCED = 'fenced'
    CORRUPT_RECORD = 'corrupt_record'
    INVALID_SETTINGS = 'invalid_settings'
    INVALID_DEFINITION = 'invalid_definition'
    PUBLISH_CONFLICT = 'publish_conflict'
    PEER_UNREACHABLE = 'peer_unreachable'
    INTERNAL = 'internal'


class CactusledgeError(Exception):
    """Base class of all errors raised by this package.

    Attributes:
        code: Stable code, part of the API.
        message: What went wrong.
        remedy: What the reader can do about it.
        outcome: Whether the call was executed, as far as is known.
        retry_after_s: Seconds to wait before a retry, or None.
    """

    code = ErrorCode.INTERNAL
    outcome = Outcome.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        remedy: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Creates an error; its text is the message and the remedy."""
        super().__init__(f'{message} {remedy}')
        self.message = message
        self.remedy = remedy
        self.retry_after_s = retry_after_s


class StoreError(CactusledgeError):
    """A request to the platform's object API failed."""


class StoreConflictError(StoreError):
    """A conditional update failed because the object's version differed."""

    code = ErrorCode.STORE_CONFLICT


class StoreNotFoundError(StoreError):
    """The object does not exist."""

    code = ErrorCode.STORE_NOT_FOUND


class StoreUnavailableError(StoreError):
    """The platform is down; the request was certainly not executed."""

    code = ErrorCode.STORE_UNAVAILABLE


class StoreAnswerLostError(StoreError):
    """The request was sent but not answered; it may have taken effect."""

    code = ErrorCode.STORE_ANSWER_LOST
    outcome = Outcome.UNKNOWN


class StoreVersionGoneError(StoreError):
    """The version to watch from is too old; the objects must be relisted."""

    code = ErrorCode.STORE_VERSION_GONE
