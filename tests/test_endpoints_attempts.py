"""Error and outcome of a call after several failed attempts."""

import pytest

from cactusledge.endpoints.attempts import Attempts
from cactusledge.endpoints.errors import (
    EndpointFailedError,
    EndpointNotRunError,
    EndpointRefusedError,
)
from cactusledge.models import Outcome

LOST = EndpointFailedError('Lost.', remedy='Query.')
LOST_AGAIN = EndpointFailedError('Lost again.', remedy='Query.')
REFUSED = EndpointRefusedError('Refused.', remedy='Go elsewhere.')
LEAVING = EndpointNotRunError('Leaving.', remedy='Go elsewhere.')


@pytest.mark.parametrize(
    ('failures', 'expected', 'outcome'),
    [
        ((REFUSED,), REFUSED, Outcome.NOT_RUN),
        ((REFUSED, LEAVING), LEAVING, Outcome.NOT_RUN),
        ((LOST, REFUSED), LOST, Outcome.UNKNOWN),
        ((REFUSED, LOST, LEAVING), LOST, Outcome.UNKNOWN),
        ((LOST, LOST_AGAIN, REFUSED), LOST_AGAIN, Outcome.UNKNOWN),
    ],
)
def test_outcome_is_not_run_only_if_no_attempt_can_have_run(
    failures, expected, outcome
):
    attempts = Attempts()
    for failure in failures:
        attempts.record_failure(failure)
    assert attempts.error() is expected
    assert attempts.error().outcome is outcome


def test_error_requires_a_failed_attempt():
    with pytest.raises(LookupError):
        Attempts().error()
