"""What is known of a call that was tried more than once; pure."""

from cactusledge.errors import CactusledgeError
from cactusledge.models import Outcome


class Attempts:
    """Failed attempts at one call.

    A call is `NOT_RUN` only if none of its attempts may have run. A refusal of
    a later attempt, by an endpoint, the routing or the deadline, says nothing
    about an earlier one.
    """

    def __init__(self) -> None:
        """Starts without attempts."""
        self._last: CactusledgeError | None = None
        self._last_unknown: CactusledgeError | None = None

    def record_failure(self, failure: CactusledgeError) -> None:
        """Takes in the failure of one more attempt."""
        self._last = failure
        if failure.outcome is not Outcome.NOT_RUN:
            self._last_unknown = failure

    def error(self) -> CactusledgeError:
        """Returns the error that is true of the call as a whole.

        Raises:
            LookupError: No attempt has failed.
        """
        failure = self._last_unknown or self._last
        if failure is None:
            raise LookupError('No attempt has failed.')
        return failure
