"""Keys that tell whether two requests are the same, whatever their ids; pure.

Each attempt of a caller has an id of its own, so ids cannot show that a request
comes again.
"""

import hashlib

from cactusledge.gateway.messages import Request
from cactusledge.records.gateway_messages import RequestKeys

KEY_BYTES = 8
SEPARATOR = b'\0'


def keys_of(request: Request, host: str) -> RequestKeys:
    """Returns the keys of a request."""
    target = digest_of(
        SEPARATOR.join((request.method, host.encode(), request.target))
    )
    return RequestKeys(digest_of(target.encode() + request.body), target)


def digest_of(content: bytes) -> str:
    """Returns a digest as text."""
    return hashlib.blake2b(content, digest_size=KEY_BYTES).hexdigest()
