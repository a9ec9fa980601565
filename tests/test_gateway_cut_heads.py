"""Endpoints that stop in the middle of the head of an answer, and close."""

import pytest

from tests.gateway_endpoints import Endpoint, answered, chunked
from tests.gateway_support import run_scenario

pytestmark = pytest.mark.process

HEAD = ['X-Cactusledge-Request-Id: r1']


def head_of(content):
    """Returns the bytes up to the empty line, which lacks its last byte."""
    return content[: content.index(b'\r\n\r\n') + 3]


def stream_of(head):
    """Returns a stream of one event."""
    return chunked(head, b'id: 1\ndata: a\n\n')


# An answer that broke off in its head reached callers of others as a whole
# one, with an empty body.
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x', '/turn/x'])
@pytest.mark.parametrize('reply', [answered, stream_of])
@pytest.mark.parametrize('step', range(7))
def test_answer_that_is_cut_in_its_head_is_no_answer(path, resets, reply, step):
    async def scenario(harness):
        for cut in range(step + 1, size + 1, 7):
            cuts.append(cut)
            caller = await harness.call(path)
            status, _, body = await caller.read()
            assert status in {502, 503}, cut
            assert not body or b'done' not in body

    size = len(head_of(reply(['', *HEAD])))
    cuts = []
    endpoint = Endpoint(
        lambda head: reply(head)[: cuts[-1]], closes=True, resets=resets
    )
    run_scenario(scenario, endpoint)
