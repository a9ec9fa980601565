"""Splits definitions into content-addressed parts and joins them again.

The hash of a definition's name decides whether a part ends after it, so that
a change of one definition changes one part and instances fetch only that one.
"""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
import pydantic

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.settings.errors import InvalidDefinitionError, Problem
from cactusledge.settings.schema import KEY_FIELDS, Definitions

KIB = 1024
MAX_PART_BYTES = KIB * KIB // 2
ITEMS_PER_PART = 64  # on average
CONTENT_KEY = 'content'
UPGRADE_REMEDY = (
    'Publish again, or upgrade this instance if it is the older one.'
)


class CorruptPartError(CactusledgeError):
    """Published data is damaged or not valid for this version."""

    code = ErrorCode.CORRUPT_RECORD


class Part(NamedTuple):
    """One content-addressed part of a configuration."""

    name: str  # SHA-256 of the content
    content: str  # JSON list of [kind, definition]

    def body(self) -> dict[str, str]:
        """Returns the body of the platform object."""
        return {CONTENT_KEY: self.content}


def split_parts(definitions: Definitions) -> tuple[Part, ...]:
    """Splits definitions into parts; equal definitions give equal parts."""
    return tuple(_make_part(chunk) for chunk in _chunks(_items(definitions)))


def verify_part(name: str, body: Mapping[str, Any]) -> Part:
    """Returns a part read from the platform if its digest matches its name."""
    content = body.get(CONTENT_KEY)
    if isinstance(content, str) and _digest(content.encode()) == name:
        return Part(name, content)
    raise CorruptPartError(
        f"The configuration part '{name}' is damaged.",
        remedy='Publish the definition files again.',
    )


def join_parts(parts: Iterable[Part]) -> Definitions:
    """Joins parts into definitions; ignores fields of newer versions."""
    merged: dict[str, list[Any]] = {kind: [] for kind in KEY_FIELDS}
    for part in parts:
        for kind, item in msgspec.json.decode(part.content):
            merged.setdefault(kind, []).append(item)
    return validate_definitions(merged)


def validate_definitions(plain: Any) -> Definitions:
    """Validates definitions that any version may have published."""
    try:
        return Definitions.model_validate(plain, extra='ignore')
    except pydantic.ValidationError as exc:
        raise CorruptPartError(
            f'The published configuration is not usable: {exc.error_count()}'
            ' fields are not valid for this version.',
            remedy=UPGRADE_REMEDY,
        ) from exc


def _items(definitions: Definitions) -> Iterator[tuple[str, bytes]]:
    """Yields the name and the encoded form of each definition, in order."""
    plain = definitions.model_dump(mode='json')
    for kind, key_field in KEY_FIELDS.items():
        for item in plain[kind]:
            encoded = msgspec.json.encode((kind, item), order='deterministic')
            name = f'{kind}/{item[key_field]}'
            _check_size(name, encoded)
            yield name, encoded


def _check_size(name: str, encoded: bytes) -> None:
    if len(encoded) > MAX_PART_BYTES:
        problem = Problem(
            name,
            f'The definition is larger than {MAX_PART_BYTES} bytes.',
            'Shorten the definition.',
        )
        raise InvalidDefinitionError((problem,))


def _chunks(items: Iterable[tuple[str, bytes]]) -> Iterator[list[bytes]]:
    chunk: list[bytes] = []
    size = 0
    for name, encoded in items:
        if chunk and size + len(encoded) > MAX_PART_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(encoded)
        size += len(encoded) + 1
        if _is_boundary(name):
            yield chunk
            chunk, size = [], 0
    if chunk:
        yield chunk


def _is_boundary(name: str) -> bool:
    first_bytes = hashlib.sha256(name.encode()).digest()[:4]
    return int.from_bytes(first_bytes) % ITEMS_PER_PART == 0


def _make_part(chunk: list[bytes]) -> Part:
    content = b'[%s]' % b','.join(chunk)
    return Part(_digest(content), content.decode())


def _digest(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()
