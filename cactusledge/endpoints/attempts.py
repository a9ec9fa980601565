"""Combines the failed attempts at a call into one error; performs no I/O."""

from cactusledge.errors import CactusledgeError
from cactusledge.models import Outcome


class Attempts:
    """Failed attempts at one call.

    The outcome of a call is `NOT_RUN` only if no attempt can have run. If a
    later attempt is refused by an endpoint, the routing or the deadline, an
    earlier one may still have run.
    """

    def __init__(self) -> None:
        """Starts with no recorded attempts."""
        self._last: CactusledgeError | None = None
        self._last_unknown: CactusledgeError | None = None

    def record_failure(self, failure: CactusledgeError) -> None:
        """Records the failure of an attempt."""
        self._last = failure
        if failure.outcome is not Outcome.NOT_RUN:
            self._last_unknown = failure

    def error(self) -> CactusledgeError:
        """Returns the error that describes the call as a whole.

        Raises:
            LookupError: No failure has been recorded.
        """
        failure = self._last_unknown or self._last
        if failure is None:
            raise LookupError('No failure has been recorded.')
        return failure
