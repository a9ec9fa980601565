"""Errors of calls between instances."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Outcome


class PeerUnreachableError(CactusledgeError):
    """The message was certainly not delivered."""

    code = ErrorCode.PEER_UNREACHABLE


class PeerAnswerLostError(CactusledgeError):
    """The message may have been delivered; no valid answer arrived."""

    code = ErrorCode.OUTCOME_UNKNOWN
    outcome = Outcome.UNKNOWN


class NotRunningError(CactusledgeError):
    """The membership has not started or has stopped."""

    code = ErrorCode.STOPPING


class PeerMessageTooLargeError(CactusledgeError):
    """The message exceeds the size limit; it was not sent."""

    code = ErrorCode.TOO_LARGE


class PeerCallError(CactusledgeError):
    """The peer answered with an error; `code` and `outcome` are the peer's."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        remedy: str,
        outcome: Outcome,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, remedy=remedy, retry_after_s=retry_after_s)
        self.code = code
        self.outcome = outcome
