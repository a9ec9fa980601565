"""Streams that are slow, and streams that never end.

The pattern: an engine that is busy pauses between events; one in trouble sends
a byte now and then, so that it is never silent.
"""

import asyncio
import itertools

import pytest

from tests.gateway_endpoints import SEAL, Endpoint, read_head, reply_of
from tests.gateway_support import run_scenario

pytestmark = pytest.mark.process

TIMEOUT_S = 2.0  # of the routes
LATE_S = 0.5
PAUSE_S = 0.4
EVENTS = [b'id: %d\ndata: a\n\n' % number for number in range(4)]
PATHS = ['/stream/x', '/turn/x', '/resumable/x']


class PacedEndpoint(Endpoint):
    """Sends the parts of a stream with pauses; chunked, ends after the last."""

    def __init__(self, parts, pause_s):
        super().__init__(None)
        self._parts = parts
        self._pause_s = pause_s

    async def _serve(self, reader, writer):
        head = await read_head(reader)
        begun = reply_of(200, head, SEAL, 'Content-Type: text/event-stream')
        framing = b'Transfer-Encoding: chunked'
        writer.write(begun.replace(b'Content-Length: 0', framing))
        for part in self._parts:
            if writer.is_closing():
                return
            writer.write(b'%x\r\n%b\r\n' % (len(part), part))
            await asyncio.sleep(self._pause_s)
        writer.write(b'0\r\n\r\n')


def see(path, endpoint):
    """Returns how a caller's stream ended, and after how long."""
    found = []

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        caller = await harness.call(path, 'Connection: close')
        seen = await caller.see()
        found.extend((seen, loop.time() - started_s))

    run_scenario(scenario, endpoint)
    return found


# Streams of busy engines were cut although each event came.
@pytest.mark.parametrize('path', PATHS)
def test_slow_but_sound_stream_is_whole(path):
    seen, took_s = see(path, PacedEndpoint(EVENTS, PAUSE_S))
    assert seen.end == 'complete'
    assert seen.body == b''.join(EVENTS)
    assert took_s >= PAUSE_S * len(EVENTS)


# A stream that sent a byte now and then was held for ever.
@pytest.mark.parametrize('path', PATHS)
def test_stream_of_single_bytes_ends_at_the_timeout(path):
    single = itertools.chain(b'data: ', itertools.repeat(ord('a')))
    endpoint = PacedEndpoint((bytes((one,)) for one in single), 0.05)
    seen, took_s = see(path, endpoint)
    assert seen.end == 'broken'
    assert took_s < TIMEOUT_S + LATE_S


# Engines differ in speed: it shows in the pauses between their events.
@pytest.mark.parametrize('path', PATHS)
def test_pace_of_an_engine_is_learnt_from_its_stream(path):
    async def scenario(harness):
        caller = await harness.call(path, 'Connection: close')
        await caller.see()
        loads = harness.fleet.loads
        assert 45 < loads.of('e0').pace.event_ms < 500
        assert loads.reading['svc'].tokens_per_ms > 0

    run_scenario(scenario, PacedEndpoint(EVENTS, 0.05))
