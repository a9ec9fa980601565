"""Errors of calls to endpoints; each states what is known of the call."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome


class EndpointError(CactusledgeError):
    """A call to an endpoint failed.

    Attributes:
        endpoint: Name of the endpoint.
        text: Model output that had arrived, '' for services.
        status: HTTP status that the endpoint gave, 0 if it gave none.
    """

    code = ErrorCode.ENDPOINT_FAILED
    outcome = Outcome.UNKNOWN

    def __init__(
        self,
        message: str,
        *,
        remedy: str,
        endpoint: str = '',
        text: str = '',
        status: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        """Keeps the message, its remedy and what had arrived."""
        super().__init__(message, remedy=remedy, retry_after_s=retry_after_s)
        self.endpoint = endpoint
        self.text = text
        self.status = status


class EndpointRefusedError(EndpointError):
    """Nothing was sent: the endpoint took no connection."""

    code = ErrorCode.ENDPOINT_REFUSED
    outcome = Outcome.NOT_RUN


class EndpointNotRunError(EndpointRefusedError):
    """The endpoint answered that it did not run the call.

    Attributes:
        leaving: Whether it gave as the reason that it is leaving.
    """

    leaving = False


class EndpointFailedError(EndpointError):
    """The call was sent and its answer is missing or not whole."""


class EndpointRejectedError(EndpointFailedError):
    """The endpoint answered with a status that a new try will not change."""


class EndpointSilentError(EndpointFailedError):
    """Nothing came on an open connection for longer than the limit."""


class EndpointDeadlineError(EndpointFailedError):
    """The deadline passed after the call was sent."""

    code = ErrorCode.DEADLINE_EXCEEDED


class AnswerMismatchError(EndpointFailedError):
    """The answer belongs to another request."""
