"""An entry instance as a process, and crowds of clients outside its limits.

What is checked does not depend on the machine's speed.
"""

import asyncio

import pytest

from standins.deployment import Deployment
from tests.crowds import KIB, MIB, Crowd, Watched, ask, chunk_of, crowd_at

pytestmark = [pytest.mark.process, pytest.mark.alone]

MEMORY_MB = 160  # of the machine
BODY_BYTES = 256 * KIB
START_LIMIT_S = 30.0
POLL_S = 0.1
SHORT = BODY_BYTES - KIB  # of a body, so that it does not end
LIMITS = {'max_body_bytes': BODY_BYTES, 'max_connections': 128}
LARGE_LIMITS = {
    'max_body_bytes': 2 * MIB,
    'max_bodies_bytes': 16 * MIB,
    'request_timeout_s': 10.0,
}

READY = b'GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
READY_ANSWERS = {200, 503}  # ready or not
HEAD = b'POST /v1/programs HTTP/1.1\r\nHost: a\r\n'
CHUNKED_HEAD = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
LENGTH_HEAD = b'%bContent-Length: %d\r\n\r\n' % (HEAD, BODY_BYTES)

LARGE_HEAD = b'%bContent-Length: %d\r\n\r\n' % (HEAD, 2 * MIB)
LARGE_BODIES = (
    Crowd('large_bodies', 200, LARGE_HEAD, b'b', 2 * MIB - KIB),
    Crowd('large_chunks', 200, CHUNKED_HEAD, chunk_of(64 * KIB), 31 * 64 * KIB),
)
CROWDS = (
    *LARGE_BODIES,
    Crowd('header_value', 4, b'%bX: ' % HEAD, b'v', 32 * MIB),
    Crowd('chunk_extension', 4, b'%b2;' % CHUNKED_HEAD, b'e', 64 * MIB),
    Crowd('trailer_value', 4, b'%b0\r\nX: ' % CHUNKED_HEAD, b'v', 32 * MIB),
    Crowd('small_chunks', 8, CHUNKED_HEAD, chunk_of(2), 7 * 48 * KIB),
    Crowd('chunks', 60, CHUNKED_HEAD, chunk_of(64 * KIB), SHORT),
    Crowd('bodies_with_a_length', 60, LENGTH_HEAD, b'b', SHORT),
    Crowd('idle_connections', 600, b''),
)


def named(crowds):
    """Returns a case for each crowd."""
    return [pytest.param(crowd, id=crowd.name) for crowd in crowds]


async def until_live(port):
    """Waits until the instance takes requests."""
    async with asyncio.timeout(START_LIMIT_S):
        while await ask(port, READY) not in READY_ANSWERS:
            await asyncio.sleep(POLL_S)


# A chunk's extension without end took 3.4 GB of memory from one instance.
@pytest.mark.parametrize('crowd', named(CROWDS))
def test_crowd_at_the_own_interface(tmp_path, crowd):
    async def main(entry):
        await until_live(entry.port)
        watched = Watched(entry.process.pid)
        async with crowd_at(entry.port, crowd):
            await watched.rests()
            assert watched.peak_bytes() <= MEMORY_MB * MIB
            assert await ask(entry.port, READY) in READY_ANSWERS
        assert await ask(entry.port, READY) in READY_ANSWERS
        assert entry.process.poll() is None

    limits = LARGE_LIMITS if crowd in LARGE_BODIES else LIMITS
    with Deployment(tmp_path) as deployment:
        deployment.start_platform()
        entry = deployment.start_entry('bole-0', 'bole', limits=limits)
        asyncio.run(main(entry))
