"""Translates the platform's headers; implements `gateway.dialect.Dialect`."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from cactusledge.gateway.messages import (
    CallInfo,
    EndpointAnswer,
    Headers,
    PromptPart,
    Replica,
    Request,
)

REQUEST_ID = b'x-cactusledge-request-id'
DEADLINE = b'x-cactusledge-deadline-ms'  # the time left, not a moment
PROGRAM = b'x-cactusledge-program-id'
FINISH = b'x-cactusledge-finish-ms'  # the time left for the whole program
BUDGET = b'x-cactusledge-token-budget'  # generated tokens of all turns
PREVIOUS = b'x-cactusledge-previous-turn'  # request id of the parent turn
TOKENS = b'x-cactusledge-token-usage'  # prompt's tokens, most output tokens
PARTS = b'x-cactusledge-prompt-prefix'  # the whole prompt, not its beginning
EXPECT_INSTANCE = b'x-cactusledge-expect-instance'  # an endpoint's id
SEAL = b'x-cactusledge-response-seal'  # MAC over an endpoint's answer
NOT_EXECUTED = b'x-cactusledge-not-executed'

MISDIRECTED = 421  # another endpoint has the address; the request did not run

ONE_CONNECTION = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-connection',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
    b'content-length',
    b'expect',
))
# Only the system may ask an endpoint for these.
RESERVED = frozenset((
    DEADLINE,
    EXPECT_INSTANCE,
    b'x-cactusledge-kv-hold',
    b'x-cactusledge-pin-ms',
    b'x-cactusledge-kv-backup',
    b'kv-from',
    b'kv-fetch',
))
NOT_FORWARDED = ONE_CONNECTION | RESERVED
NOT_RETURNED = ONE_CONNECTION | {NOT_EXECUTED}
BODY_METHODS = frozenset((b'POST', b'PUT', b'PATCH'))

HeaderMap = Mapping[bytes, bytes]


class HeaderDialect:
    """The platform's headers."""

    def read_call(self, request: Request) -> CallInfo:
        """Returns what the request says of itself."""
        found = by_name(request.headers)
        prompt, most = pair(found.get(TOKENS, b''))
        return CallInfo(
            request_id=text(found, REQUEST_ID),
            host=text(found, b'host'),
            path=request.target.decode('latin-1'),
            deadline_ms=number(found.get(DEADLINE)),
            program_id=text(found, PROGRAM),
            finish_ms=number(found.get(FINISH)),
            budget=whole(found.get(BUDGET)),
            parent_id=text(found, PREVIOUS),
            prompt_tokens=prompt,
            max_tokens=most,
            parts=prompt_parts(found.get(PARTS, b'')),
        )

    def request_headers(
        self,
        request: Request,
        replica: Replica,
        deadline_ms: float,
        body_bytes: int,
    ) -> bytes:
        """Returns the header lines to send to an endpoint, with the last."""
        dropped = NOT_FORWARDED | named_by_connection(request.headers)
        lines = [
            b'%b: %b\r\n' % header
            for header in request.headers
            if header[0].lower() not in dropped
        ]
        lines.append(
            f'X-Cactusledge-Deadline-Ms: {max(1, int(deadline_ms))}\r\n'
            f'X-Cactusledge-Expect-Instance: {replica.endpoint_id}\r\n'.encode()
        )
        if body_bytes or request.method in BODY_METHODS:
            lines.append(b'Content-Length: %d\r\n' % body_bytes)
        lines.append(b'\r\n')
        return b''.join(lines)

    def read_answer(self, status: int, headers: Headers) -> EndpointAnswer:
        """Returns what the head of an endpoint's answer says."""
        found = by_name(headers)
        return EndpointAnswer(
            status=status,
            headers=headers,
            request_id=text(found, REQUEST_ID),
            has_seal=SEAL in found,
            not_run=NOT_EXECUTED in found or status == MISDIRECTED,
            is_encoded=b'content-encoding' in found,
            idle_s=idle_timeout(found.get(b'keep-alive', b'')),
        )

    def response_headers(self, headers: Headers) -> bytes:
        """Returns the header lines of an answer to pass on to the caller."""
        dropped = NOT_RETURNED | named_by_connection(headers)
        return b''.join(
            b'%b: %b\r\n' % header
            for header in headers
            if header[0].lower() not in dropped
        )


def by_name(headers: Iterable[tuple[bytes, bytes]]) -> HeaderMap:
    """Returns the headers by name in lower case; the first one counts."""
    found: dict[bytes, bytes] = {}
    for name, content in headers:
        found.setdefault(name.lower(), content)
    return MappingProxyType(found)


def named_by_connection(
    headers: Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Returns the names that a Connection header declares as its own."""
    names: set[bytes] = set()
    for name, content in headers:
        if name.lower() == b'connection':
            names.update(part.strip().lower() for part in content.split(b','))
    return frozenset(names)


def text(found: HeaderMap, name: bytes) -> str:
    """Returns a header's text, '' without it."""
    return found.get(name, b'').decode('latin-1')


def number(content: bytes | None) -> float | None:
    """Returns a header's number, None without a valid one."""
    try:
        return float(content) if content else None
    except ValueError:
        return None


def whole(content: bytes | None) -> int | None:
    """Returns a header's whole number, None without a valid one."""
    found = number(content)
    return None if found is None else int(found)


def pair(content: bytes) -> tuple[int, int]:
    """Returns the two numbers of a header, zeros without them."""
    first, _, second = content.partition(b',')
    return whole(first) or 0, whole(second) or 0


def prompt_parts(content: bytes) -> tuple[PromptPart, ...]:
    """Returns the parts in `id:tokens,id:tokens` form."""
    parts: list[PromptPart] = []
    for entry in content.decode('latin-1').split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if part_id and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def idle_timeout(content: bytes) -> float | None:
    """Returns the seconds of `timeout=N` in a Keep-Alive header."""
    for entry in content.split(b','):
        name, _, seconds = entry.strip().partition(b'=')
        if name.lower() == b'timeout':
            return number(seconds)
    return None
