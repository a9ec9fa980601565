"""Tells the head of one answer from a head that two answers make up; pure.

An answer that breaks off inside a header joins with the answer after it: the
second status line becomes a part of that header's value, and headers of both
stand side by side. Such a head says nothing about any request.
"""

import re
from types import MappingProxyType

from cactusledge.gateway.messages import Headers

REQUEST_ID = b'x-cactusledge-request-id'
RESPONSE_SEAL = b'x-cactusledge-response-seal'  # MAC over an endpoint's answer
NOT_EXECUTED = b'x-cactusledge-not-executed'

FIRST_ERROR = 400
STATUS_LINE = re.compile(rb'HTTP/\d')  # the start of one
VISIBLE = re.compile(rb'[!-~]+')
GRAMMARS = MappingProxyType({
    REQUEST_ID: VISIBLE,
    RESPONSE_SEAL: VISIBLE,
    NOT_EXECUTED: re.compile(rb'1'),
})
# A head has at most one of each.
SINGLE = GRAMMARS.keys() | {
    b'content-length',
    b'content-type',
    b'date',
    b'retry-after',
}


def is_sound(status: int, reason: bytes, headers: Headers) -> bool:
    """Returns whether a head is that of one answer, and consistent.

    Args:
        status: The status code.
        reason: The text after it.
        headers: Names and values, as received.
    """
    contents = b'\n'.join([reason, *(content for _, content in headers)])
    if STATUS_LINE.search(contents):
        return False
    lowered = ((name.lower(), content) for name, content in headers)
    known = [header for header in lowered if header[0] in SINGLE]
    by_name = dict(known)
    if len(by_name) < len(known):
        return False
    if not all(
        grammar.fullmatch(by_name[name].strip())
        for name, grammar in GRAMMARS.items()
        if name in by_name
    ):
        return False
    return NOT_EXECUTED not in by_name or (
        status >= FIRST_ERROR and RESPONSE_SEAL not in by_name
    )
