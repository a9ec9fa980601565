"""Encodes and decodes the configurations that instances exchange."""

import hashlib
from typing import Any, NamedTuple

import msgspec
import zstandard

from cactusledge.settings.configuration import Configuration
from cactusledge.settings.definitions import build_configuration, encode
from cactusledge.settings.parts import CorruptPartError, validate_definitions
from cactusledge.settings.schema import Definitions

MAX_SNAPSHOT_BYTES = 32_000_000
REMEDY = 'Upgrade the older of the two instances.'


class _Snapshot(NamedTuple):
    generation: int
    digest: str  # of the definitions, as published
    checksum: str  # SHA-256 of the encoded definitions
    definitions: str  # JSON


def encode_snapshot(
    definitions: Definitions, generation: int, digest: str
) -> bytes:
    """Returns a complete configuration as compressed JSON."""
    content = encode(definitions)
    checksum = _checksum(content)
    snapshot = _Snapshot(generation, digest, checksum, content.decode())
    return zstandard.compress(msgspec.json.encode(snapshot))


def decode_snapshot(encoded: bytes) -> Configuration:
    """Decodes a configuration; raises CorruptPartError if it is damaged."""
    try:
        snapshot, plain = _decode(encoded)
    except (zstandard.ZstdError, msgspec.DecodeError) as exc:
        raise CorruptPartError(
            'A configuration received from a peer cannot be decoded.',
            remedy=REMEDY,
        ) from exc
    return build_configuration(
        validate_definitions(plain), snapshot.generation, snapshot.digest
    )


def _decode(encoded: bytes) -> tuple[_Snapshot, Any]:
    raw = zstandard.decompress(encoded, max_output_size=MAX_SNAPSHOT_BYTES)
    snapshot = msgspec.json.decode(raw, type=_Snapshot)
    content = snapshot.definitions.encode()
    if _checksum(content) != snapshot.checksum:
        raise msgspec.DecodeError('The checksum does not match.')
    return snapshot, msgspec.json.decode(content)


def _checksum(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()
