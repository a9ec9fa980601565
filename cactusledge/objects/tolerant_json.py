"""Decodes JSON in which another writer may have left unusable values."""

import re
from collections.abc import Iterator
from typing import TypeVar

import msgspec

MAX_NESTING = 64  # levels that are decoded if a document has too many
TEXT_OR_BRACKET = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{\]}]', re.DOTALL
)
OPENING = frozenset((b'[', b'{'))
CLOSING = frozenset((b']', b'}'))

Decoded = TypeVar('Decoded')


def decode_nested(content: bytes, struct: type[Decoded]) -> Decoded:
    """Decodes a document; values that are nested too deeply become null.

    Raises:
        msgspec.MsgspecError: The document is invalid.
    """
    try:
        return msgspec.json.decode(content, type=struct)
    except RecursionError:
        return msgspec.json.decode(prune(content), type=struct)


def prune(content: bytes) -> bytes:
    """Replaces each value that is nested too deeply by null."""
    return b''.join(_kept_parts(content))


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
