"""Parses and writes platform headers; implements `gateway.dialect.Dialect`."""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from cactusledge.gateway.messages import (
    CallInfo,
    EndpointAnswer,
    Headers,
    Outgoing,
    PromptPart,
    Replica,
    Request,
)
from cactusledge.platform.accounts import digest_of
from cactusledge.platform.answer_heads import (
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_SEAL,
    is_sound,
)
from cactusledge.records.entries import short_id

DEADLINE = b'x-cactusledge-deadline-ms'  # remaining time, not a timestamp
PROGRAM_ID = b'x-cactusledge-program-id'
# Remaining time of the whole program, not a timestamp.
PROGRAM_DEADLINE = b'x-cactusledge-finish-ms'
TOKEN_BUDGET = b'x-cactusledge-token-budget'  # generated tokens of all turns
PARENT_TURN = b'x-cactusledge-previous-turn'  # request id of the parent turn
# Prompt tokens and the maximum number of output tokens.
TOKEN_USAGE = b'x-cactusledge-token-usage'
# Describes the whole prompt, not only its beginning.
PROMPT_PARTS = b'x-cactusledge-prompt-prefix'
EXPECT_INSTANCE = b'x-cactusledge-expect-instance'  # an endpoint's id
FORWARDED = b'x-cactusledge-forwarded'  # by another gateway, to this one
LEAVING = b'server-leaving'  # on all answers of an endpoint that leaves
RATE_LIMIT = b'server-limit'  # requests a second, of all instances together
LAST_EVENT_ID = b'last-event-id'  # a stream continues after this event
API_KEY = b'api-key'  # of a client account
ACCOUNT_NAME = b'x-cactusledge-tenant'  # to an endpoint, in place of the key

MAX_RATE_LIMIT = 1e6  # requests a second; more is no limit an endpoint means
MAX_INVALID_CHARS = 40  # of an invalid header that are logged

# Another endpoint now has the address; the request did not run.
MISDIRECTED_REQUEST = 421

HOP_BY_HOP = frozenset((
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
# Only the system may send these to an endpoint.
RESERVED = frozenset((
    DEADLINE,
    EXPECT_INSTANCE,
    FORWARDED,
    ACCOUNT_NAME,
    b'x-cactusledge-kv-hold',
    b'x-cactusledge-pin-ms',
    b'x-cactusledge-kv-backup',
    b'kv-from',
    b'kv-fetch',
))
NOT_FORWARDED = HOP_BY_HOP | RESERVED
# Another gateway gets the key, as it authenticates the caller itself.
NOT_FOR_ENDPOINTS = NOT_FORWARDED | {API_KEY}
NOT_RETURNED = HOP_BY_HOP | {NOT_EXECUTED}
BODY_METHODS = frozenset((b'POST', b'PUT', b'PATCH'))

HeaderMap = Mapping[bytes, bytes]


class HeaderDialect:
    """The platform's headers."""

    def read_call(self, request: Request) -> CallInfo:
        """Parses the headers of a caller's request."""
        by_name = headers_by_name(request.headers)
        prompt_tokens, max_tokens = parse_pair(by_name.get(TOKEN_USAGE, b''))
        return CallInfo(
            request_id=header_text(by_name, REQUEST_ID),
            host=header_text(by_name, b'host'),
            path=request.target.decode('latin-1'),
            deadline_ms=parse_number(by_name.get(DEADLINE)),
            program_id=header_text(by_name, PROGRAM_ID),
            finish_ms=parse_number(by_name.get(PROGRAM_DEADLINE)),
            budget=parse_integer(by_name.get(TOKEN_BUDGET)),
            parent_id=header_text(by_name, PARENT_TURN),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            parts=parse_prompt_parts(by_name.get(PROMPT_PARTS, b'')),
            last_event_id=header_text(by_name, LAST_EVENT_ID),
            is_forwarded=FORWARDED in by_name,
            key_digest=digest_of(by_name.get(API_KEY, b'')),
        )

    def request_headers(
        self,
        outgoing: Outgoing,
        replica: Replica | None,
        deadline_ms: float,
    ) -> bytes:
        """Returns the headers for an endpoint, up to the final empty line.

        Without one they are for another gateway.
        """
        request = outgoing.request
        dropped = NOT_FOR_ENDPOINTS if replica else NOT_FORWARDED
        dropped |= connection_options(request.headers)
        if outgoing.resume_after:
            dropped |= {LAST_EVENT_ID}
        lines = [
            b'%b: %b\r\n' % header
            for header in request.headers
            if header[0].lower() not in dropped
        ]
        recipient = (
            f'X-Cactusledge-Expect-Instance: {replica.endpoint_id}\r\n'
            if replica
            else 'X-Cactusledge-Forwarded: 1\r\n'
        )
        deadline = f'X-Cactusledge-Deadline-Ms: {max(1, int(deadline_ms))}\r\n'
        lines.append(f'{deadline}{recipient}'.encode())
        if replica and outgoing.account:
            lines.append(
                f'X-Cactusledge-Tenant: {outgoing.account}\r\n'.encode()
            )
        if outgoing.resume_after:
            lines.append(f'Last-Event-Id: {outgoing.resume_after}\r\n'.encode())
        if outgoing.size or request.method in BODY_METHODS:
            lines.append(b'Content-Length: %d\r\n' % outgoing.size)
        lines.append(b'\r\n')
        return b''.join(lines)

    def read_answer(
        self, status: int, headers: Headers, reason: bytes = b''
    ) -> EndpointAnswer:
        """Parses the status line and the headers of an endpoint's answer."""
        by_name = headers_by_name(headers)
        limit_text = header_text(by_name, RATE_LIMIT)
        limit_per_s = parse_rate_limit(limit_text)
        return EndpointAnswer(
            status=status,
            headers=headers,
            request_id=header_text(by_name, REQUEST_ID),
            has_seal=RESPONSE_SEAL in by_name,
            not_run=NOT_EXECUTED in by_name or status == MISDIRECTED_REQUEST,
            is_encoded=b'content-encoding' in by_name,
            idle_s=parse_idle_timeout(by_name.get(b'keep-alive', b'')),
            is_leaving=header_text(by_name, LEAVING).strip() == '1',
            media_type=parse_media_type(by_name),
            limit_per_s=limit_per_s,
            invalid_limit=(
                limit_text[:MAX_INVALID_CHARS] if limit_per_s is None else ''
            ),
            is_sound=is_sound(status, reason, headers),
        )

    def response_headers(self, headers: Headers) -> bytes:
        """Returns the header lines of an answer to forward to the caller."""
        dropped = NOT_RETURNED | connection_options(headers)
        return b''.join(
            b'%b: %b\r\n' % header
            for header in headers
            if header[0].lower() not in dropped
        )


def headers_by_name(headers: Iterable[tuple[bytes, bytes]]) -> HeaderMap:
    """Maps names in lower case to values; the first of equal names counts."""
    by_name: dict[bytes, bytes] = {}
    for name, content in headers:
        by_name.setdefault(name.lower(), content)
    return MappingProxyType(by_name)


def connection_options(
    headers: Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Returns the header names listed in Connection headers, in lower case."""
    names: set[bytes] = set()
    for name, content in headers:
        if name.lower() == b'connection':
            names.update(part.strip().lower() for part in content.split(b','))
    return frozenset(names)


def header_text(by_name: HeaderMap, name: bytes) -> str:
    """Returns a header's value as text, '' if it is missing."""
    return by_name.get(name, b'').decode('latin-1')


def parse_media_type(by_name: HeaderMap) -> str:
    """Returns the media type, in lower case and without parameters."""
    content = header_text(by_name, b'content-type')
    return content.partition(';')[0].strip().lower()


def parse_number(content: bytes | None) -> float | None:
    """Parses a number; None if it is missing, invalid or not finite."""
    try:
        parsed = float(content) if content else None
    except ValueError:
        return None
    return parsed if parsed is not None and math.isfinite(parsed) else None


def parse_integer(content: bytes | None) -> int | None:
    """Parses a number, truncated; None if it is missing or invalid."""
    parsed = parse_number(content)
    return None if parsed is None else int(parsed)


def parse_pair(content: bytes) -> tuple[int, int]:
    """Parses `first,second`; a missing or invalid number becomes 0."""
    first, _, second = content.partition(b',')
    return parse_integer(first) or 0, parse_integer(second) or 0


def parse_prompt_parts(content: bytes) -> tuple[PromptPart, ...]:
    """Parses `id:tokens,id:tokens`; skips invalid entries.

    Long ids are shortened, as instances tell each other many of them.
    """
    parts: list[PromptPart] = []
    for entry in content.decode('latin-1').split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if part_id and tokens.isdecimal():
            parts.append(PromptPart(short_id(part_id), int(tokens)))
    return tuple(parts)


def parse_rate_limit(text: str) -> float | None:
    """Parses a rate; None if it is missing, invalid, negative or absurd."""
    rate = parse_number(text.encode('latin-1'))
    if rate is None or not 0 <= rate <= MAX_RATE_LIMIT:
        return None
    return rate


def parse_idle_timeout(content: bytes) -> float | None:
    """Returns the seconds of `timeout=N` in a Keep-Alive header, if valid."""
    for entry in content.split(b','):
        name, _, seconds = entry.strip().partition(b'=')
        if name.lower() == b'timeout':
            return parse_number(seconds)
    return None
