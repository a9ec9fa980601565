"""The crowds that a gateway must bear, and the machine that it runs on."""

from tests.crowds import (
    CHUNKED_HEAD,
    HEAD,
    KIB,
    MIB,
    Crowd,
    chunk_of,
    head_of,
)

MEMORY_MB = 96  # of the machine
FEW_DESCRIPTORS = 500  # of a machine
RESERVED_DESCRIPTORS = 200  # of these, for files
HEADER_BYTES = 16 * KIB
BODY_BYTES = 256 * KIB

ROUTES = {'/once/': 30.0, '/stream/': 30.0}
DOCUMENT = {
    'memory_mb': MEMORY_MB,
    'limits': {
        'header_bytes': HEADER_BYTES,
        'body_bytes': BODY_BYTES,
        'header_timeout_ms': 30000,
        'idle_timeout_ms': 60000,
    },
}

ENDLESS = 32 * MIB
SHORT = BODY_BYTES - KIB  # of a body, so that it does not end
SLOW = head_of('/once/x', 'X-Takes-S: 25')
LARGE_ANSWER = head_of('/once/x', f'X-Answer-Bytes: {200 * KIB}')

ENDLESS_HEADS = (
    Crowd('header_lines', 1, HEAD, b'a: b\r\n', 8 * MIB),
    Crowd('header_value', 4, b'%bX-Long: ' % HEAD, b'v', ENDLESS),
    Crowd('header_name', 4, HEAD, b'n', ENDLESS),
    Crowd('path', 4, b'GET /', b'p', ENDLESS),
)
# Lines that are as short as can be take many times their bytes in memory.
SHORTEST_LINES = b'a:\r\n' * (15 * KIB // 4)
MANY_HEADS = (Crowd('large_heads', 300, b'%b%b' % (HEAD, SHORTEST_LINES)),)
ENDLESS_TRAILERS = (
    Crowd('trailers', 4, b'%b0\r\n' % CHUNKED_HEAD, b'a: b\r\n', 8 * MIB),
    Crowd('trailer_value', 4, b'%b0\r\nX: ' % CHUNKED_HEAD, b'v', ENDLESS),
    Crowd('chunk_extension', 4, b'%b2;' % CHUNKED_HEAD, b'e', ENDLESS),
)
BODIES = (
    Crowd('chunks', 400, CHUNKED_HEAD, chunk_of(64 * KIB), SHORT),
    Crowd('small_chunks', 100, CHUNKED_HEAD, chunk_of(2), 7 * 48 * KIB),
    Crowd('chunks_over_the_limit', 400, CHUNKED_HEAD, chunk_of(KIB), MIB),
    Crowd(
        'bodies_with_a_length',
        400,
        head_of('/once/x', length=BODY_BYTES),
        b'b',
        SHORT,
    ),
)
QUEUES = (
    Crowd('small_requests', 4, SLOW, head_of('/once/x'), 16 * MIB),
    Crowd(
        'requests_with_bodies',
        4,
        SLOW,
        b'%b%b' % (head_of('/once/x', length=100 * KIB), bytes(100 * KIB)),
        ENDLESS,
    ),
)
DEAF = head_of('/once/x', 'X-Deaf: 1', length=BODY_BYTES)
UNREAD_REQUESTS = (
    Crowd('unread_requests', 300, b'%b%b' % (DEAF, bytes(BODY_BYTES))),
)
UNREAD_ANSWERS = (Crowd('unread_answers', 400, LARGE_ANSWER * 50),)
CONNECTIONS = (Crowd('connections', 700, b'', descriptors=FEW_DESCRIPTORS),)
EMPTY_LINES = Crowd('empty_lines', 20, b'', b'\r\n', 8 * MIB)

AT_THE_PORT_FOR_CALLERS = (
    *ENDLESS_HEADS,
    *MANY_HEADS,
    *ENDLESS_TRAILERS,
    *BODIES,
    *QUEUES,
    *UNREAD_REQUESTS,
    *UNREAD_ANSWERS,
    *CONNECTIONS,
)
AT_THE_PAGE = (*ENDLESS_HEADS, *BODIES[:1], *CONNECTIONS)
