"""Decodes JSON in which another writer may have left unusable values."""

import re
from collections.abc import Iterator
from typing import TypeVar

import msgspec

UNREADABLE = b'\xff'  # fails to decode, but only where it is decoded
# A pair of surrogates, one without the other, any other escape.
ESCAPE = re.compile(
    rb'\\u[dD][89abAB]..\\u[dD][c-fC-F]..|(\\u[dD][89a-fA-F]..)|\\.',
    re.DOTALL,
)
MAX_NESTING = 64  # levels that are decoded if a document has too many
TEXT_OR_BRACKET = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{\]}]', re.DOTALL
)
OPENING = frozenset((b'[', b'{'))
CLOSING = frozenset((b']', b'}'))

Decoded = TypeVar('Decoded')


def decode_nested(content: bytes, struct: type[Decoded]) -> Decoded:
    """Decodes a document in spite of values that cannot be decoded.

    Those that are nested too deeply become null. A text with half of a pair of
    surrogates only fails the value that it is decoded for, if any.

    Raises:
        msgspec.MsgspecError: The document is invalid.
    """
    try:
        return msgspec.json.decode(content, type=struct)
    except (RecursionError, msgspec.DecodeError):
        sound = prune(mark_unreadable(content))
        return msgspec.json.decode(sound, type=struct)


def mark_unreadable(content: bytes) -> bytes:
    """Replaces each half of a pair of surrogates by an invalid byte."""
    return ESCAPE.sub(_mark_half, content)


def prune(content: bytes) -> bytes:
    """Replaces each value that is nested too deeply by null."""
    return b''.join(_kept_parts(content))


def _mark_half(escape: re.Match[bytes]) -> bytes:
    return UNREADABLE if escape[1] else escape[0]


def _kept_parts(content: bytes) -> Iterator[bytes]:
    depth = 0
    kept_to = 0
    for match in TEXT_OR_BRACKET.finditer(content):
        if match[0] in OPENING:
            depth += 1
            if depth == MAX_NESTING + 1:
                yield content[kept_to : match.start()]
        elif match[0] in CLOSING:
            if depth == MAX_NESTING + 1:
                yield b'null'
                kept_to = match.end()
            depth -= 1
    yield content[kept_to:]
