"""When two requests count as the same."""

import pytest

from cactusledge.gateway.messages import Request
from cactusledge.gateway.request_keys import keys_of

HOST = 'shop.example'
FIRST = Request(b'POST', b'/turn/a?b=1', [(b'X-Id', b'1')], b'input', 0)


def test_request_that_comes_again_has_the_same_keys():
    again = FIRST._replace(headers=[(b'X-Id', b'2')], received_s=9)
    assert keys_of(again, HOST) == keys_of(FIRST, HOST)


@pytest.mark.parametrize(
    'change',
    [{'method': b'PUT'}, {'target': b'/turn/a?b=2'}, {'target': b'/turn/'}],
)
def test_other_target_has_other_keys(change):
    other = keys_of(FIRST._replace(**change), HOST)
    assert other.target != keys_of(FIRST, HOST).target
    assert other.exact != keys_of(FIRST, HOST).exact


def test_other_host_has_other_keys():
    assert keys_of(FIRST, 'b.example').target != keys_of(FIRST, HOST).target


def test_other_body_has_the_same_target_only():
    other = keys_of(FIRST._replace(body=b'other'), HOST)
    assert other.target == keys_of(FIRST, HOST).target
    assert other.exact != keys_of(FIRST, HOST).exact


# A part of the path that moved into the body was taken for the same request.
def test_parts_of_a_request_are_kept_apart():
    moved = FIRST._replace(target=b'/turn/a?b=1in', body=b'put')
    assert keys_of(moved, HOST).exact != keys_of(FIRST, HOST).exact
