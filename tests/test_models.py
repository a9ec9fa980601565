"""Shared data types."""

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Address, Outcome


def test_address_is_written_as_host_and_port():
    assert str(Address('127.0.0.1', 8080)) == '127.0.0.1:8080'


def test_error_carries_code_and_remedy():
    exc = CactusledgeError('No room.', remedy='Come back.', retry_after_s=2)
    assert (exc.code, exc.outcome) == (ErrorCode.INTERNAL, Outcome.NOT_RUN)
    assert str(exc) == 'No room. Come back.'
