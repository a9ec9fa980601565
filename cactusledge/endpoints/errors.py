"""Errors of calls to endpoints; each states whether the call ran."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome


class EndpointError(CactusledgeError):
    """A call to an endpoint failed.

    Attributes:
        endpoint: Name of the endpoint.
        text: Model output received before the failure, '' for services.
        status: HTTP status of the answer, 0 if there was none.
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
        """Stores the message, the remedy and the details of the answer."""
        super().__init__(message, remedy=remedy, retry_after_s=retry_after_s)
        self.endpoint = endpoint
        self.text = text
        self.status = status


class EndpointRefusedError(EndpointError):
    """The request was not sent, or the endpoint did not run it."""

    code = ErrorCode.ENDPOINT_REFUSED
    outcome = Outcome.NOT_RUN


class EndpointNotRunError(EndpointRefusedError):
    """The endpoint answered that it did not run the call.

    Attributes:
        leaving: Whether the reason was that the endpoint is leaving.
    """

    leaving = False


class EndpointFailedError(EndpointError):
    """The call was sent, but its answer is missing or incomplete."""


class EndpointRejectedError(EndpointFailedError):
    """The endpoint answered with a status that a retry will not change."""


class EndpointSilentError(EndpointFailedError):
    """An open connection delivered no data or no token within its timeout."""


class EndpointDeadlineError(EndpointFailedError):
    """The deadline passed after the call was sent."""

    code = ErrorCode.DEADLINE_EXCEEDED


class AnswerMismatchError(EndpointFailedError):
    """The answer belongs to another request."""
