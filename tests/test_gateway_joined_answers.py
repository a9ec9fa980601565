"""Answers that break off and join with the next one on a kept connection."""

import asyncio
import itertools
from unittest.mock import Mock

import pytest

from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.refusals import Refusals
from cactusledge.gateway.sinks import BufferedAnswer, ExchangeEnd
from cactusledge.platform.headers import HeaderDialect
from tests.gateway_endpoints import (
    LAST_CHUNK,
    SEAL,
    answered,
    chunk_of,
    overloaded,
    reply_of,
)

EVENT = b'id: 1\ndata: a\n\n'
NOT_RUN = 'X-Cactusledge-Not-Executed: 1'
DATE = 'Date: Sun, 06 Dec 2026 06:00:00 GMT'
LEFTOVER = b'HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nleftovers'


class StillTransport(asyncio.Transport):
    """Takes all that is written; notes that it was closed."""

    def __init__(self):
        super().__init__()
        self.is_closed = False

    def write(self, data):
        """Takes bytes."""

    def get_extra_info(self, name, default=None):
        return Mock()

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = True


def head_of(number):
    """Returns the head of a request."""
    return ['', f'X-Cactusledge-Request-Id: r{number}']


def refused(head):
    """A refusal with the fields around its statement that others send."""
    return reply_of(503, head, NOT_RUN, DATE, 'Retry-After: 0.100')


def failed(head):
    return reply_of(500, head, DATE, body=b'failed')


def dated(head):
    return reply_of(200, head, DATE, 'Keep-Alive: timeout=20', SEAL, body=b'ok')


def streamed(head):
    lines = reply_of(200, head, SEAL, DATE).replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    return b''.join((lines, chunk_of(EVENT), LAST_CHUNK))


ANSWERS = (answered, dated, failed, overloaded, refused, streamed)
TRUE_ENDS = {
    overloaded: ExchangeEnd.NOT_RUN,
    refused: ExchangeEnd.NOT_RUN,
}


class Exchanges:
    """A connection with one request at a time."""

    def __init__(self):
        self.transport = StillTransport()
        self.conn = EndpointConnection(
            HeaderDialect(), lambda *_: None, lambda _: None
        )
        self.conn.connection_made(self.transport)
        self._numbers = itertools.count(1)

    def exchange(self, received):
        """Sends the next request; returns its answer once the other closes."""
        answer = BufferedAnswer()
        self.conn.send(b'', f'r{next(self._numbers)}', answer)
        self.conn.data_received(received)
        return answer

    def end_of(self, answer):
        """Returns how an exchange ended, at the latest with the connection."""
        if not answer.ended.done():
            self.conn.connection_lost(None)
        return answer.ended.result()


async def see_joined(first, second, cut):
    """Returns how the second exchange ended, and with which answer."""
    exchanges = Exchanges()
    whole = first(head_of(1))
    exchanges.exchange(whole)
    answer = exchanges.exchange(whole[:cut] + second(head_of(2)))
    return exchanges.end_of(answer), answer


# A cut copy of a refusal joined with the answer of a request that had run: the
# call was told "not run" and sent to another endpoint. A cut copy of any other
# answer can lend a success or a failure its status or its headers.
@pytest.mark.parametrize('first', ANSWERS)
@pytest.mark.parametrize('second', ANSWERS)
def test_answer_that_joins_with_a_cut_one_tells_nothing_false(first, second):
    async def scenario():
        alone = await see_joined(first, second, 0)
        assert alone[0] is TRUE_ENDS.get(second, ExchangeEnd.ANSWERED)
        size = len(first(head_of(1)))
        for cut in range(1, size):
            end, answer = await see_joined(first, second, cut)
            if end is ExchangeEnd.BROKEN:
                continue
            assert end is alone[0], cut
            assert answer.head == alone[1].head, cut
            assert answer.body == alone[1].body, cut

    asyncio.run(scenario())


# A second statement, or one beside the seal of a run, was believed.
@pytest.mark.parametrize(
    ('status', 'lines'),
    [
        (200, (NOT_RUN,)),
        (503, (NOT_RUN, SEAL)),
        (503, ('X-Cactusledge-Not-Executed: 0',)),
        (503, (NOT_RUN, NOT_RUN)),
        (503, (NOT_RUN, 'X-Cactusledge-Request-Id: r2')),
    ],
)
def test_head_that_contradicts_itself_is_not_believed(status, lines):
    async def scenario():
        exchanges = Exchanges()
        answer = exchanges.exchange(reply_of(status, head_of(1), *lines))
        assert exchanges.end_of(answer) is ExchangeEnd.BROKEN

    asyncio.run(scenario())


# Bytes without a request id that came after a complete answer were given to
# the next caller on the connection as the answer to its call.
def test_bytes_that_belong_to_nobody_answer_no_later_request():
    async def scenario():
        exchanges = Exchanges()
        exchanges.exchange(answered(head_of(1)))
        answer = exchanges.exchange(LEFTOVER + answered(head_of(2)))
        assert exchanges.end_of(answer) is ExchangeEnd.BROKEN
        assert exchanges.transport.is_closed

    asyncio.run(scenario())


# An answer to a request without an id cannot be told from additional bytes.
def test_request_without_an_id_needs_a_new_connection():
    refusals = Refusals()
    assert refusals.can_carry('')
    refusals.begin('r1')
    assert refusals.can_carry('r2')
    assert not refusals.can_carry('')


# An endpoint's own failure on a new connection can only be for its request.
def test_first_failure_of_a_connection_needs_no_id():
    async def scenario():
        exchanges = Exchanges()
        answer = exchanges.exchange(LEFTOVER)
        assert exchanges.end_of(answer) is ExchangeEnd.ANSWERED

    asyncio.run(scenario())
