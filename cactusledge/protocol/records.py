"""Records of the journal and their encoding.

A batch is a msgpack array inside one zstandard frame.
"""

import hashlib
from collections.abc import Iterable, Mapping
from itertools import starmap
from types import MappingProxyType
from typing import Any

import msgspec
import zstandard

from cactusledge.protocol.errors import CorruptRecordError
from cactusledge.protocol.record_kinds import (  # noqa: WPS235 one module
    CacheRelease,
    Dropped,
    Ended,
    Intent,
    Opened,
    OutcomeRecorded,
    ProgramRecord,
    ProgramSnapshot,
    Record,
    Seal,
    ShareReserved,
    ShareReturned,
    Touched,
    Void,
)

__all__ = (
    'MAX_BATCH_BYTES',
    'CacheRelease',
    'Dropped',
    'Ended',
    'Intent',
    'Opened',
    'OutcomeRecorded',
    'ProgramRecord',
    'ProgramSnapshot',
    'Record',
    'Seal',
    'ShareReserved',
    'ShareReturned',
    'Touched',
    'Void',
    'decode_batch',
    'digest_of',
    'encode_batch',
    'encode_record',
)

DIGEST_BYTES = 16
MAX_BATCH_BYTES = 1 << 24  # decompressed
_COMPRESSION_LEVEL = 3

_RECORD_TYPES: Mapping[str, type[Any]] = MappingProxyType({
    'opened': Opened,
    'intent': Intent,
    'outcome': OutcomeRecorded,
    'touched': Touched,
    'share': ShareReserved,
    'return': ShareReturned,
    'ended': Ended,
    'release': CacheRelease,
    'snapshot': ProgramSnapshot,
    'dropped': Dropped,
    'seal': Seal,
    'void': Void,
})
_TAG_BY_TYPE = MappingProxyType({
    kind: tag for tag, kind in _RECORD_TYPES.items()
})
_DECODERS = MappingProxyType(
    {tag: msgspec.msgpack.Decoder(kind) for tag, kind in _RECORD_TYPES.items()},
)
# Converted before encoding: an int in such a field is read back as a float,
# which would change the digest.
_FLOAT_FIELDS: Mapping[type[Any], tuple[str, ...]] = MappingProxyType(
    {
        kind: tuple(
            name for name, hint in kind.__annotations__.items() if hint is float
        )
        for kind in _RECORD_TYPES.values()
    },
)
_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])


def encode_record(record: Record) -> bytes:
    """Returns the bytes of one record, the same for equal records."""
    return _ENCODER.encode(_tagged(record))


def digest_of(record: Record) -> bytes:
    """Returns the digest that the program's next record has as `prev`."""
    encoded = encode_record(record)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


def encode_batch(records: Iterable[Record]) -> bytes:
    """Returns the compressed bytes of the records, in their order."""
    tagged = [_tagged(record) for record in records]
    compressor = zstandard.ZstdCompressor(
        level=_COMPRESSION_LEVEL,
        write_checksum=True,
    )
    return compressor.compress(_ENCODER.encode(tagged))


def decode_batch(data: bytes) -> tuple[Record, ...]:
    """Returns the records of a batch that `encode_batch` made.

    Raises:
        CorruptRecordError: If the bytes are not such a batch.
    """
    try:
        tagged = _BATCH.decode(_inflate(data))
        return tuple(starmap(_decode, tagged))
    except (msgspec.MsgspecError, zstandard.ZstdError, KeyError) as exc:
        raise _corrupt(str(exc)) from exc
    except (ValueError, RecursionError, OverflowError) as exc:
        raise _corrupt(str(exc)) from exc


def _tagged(record: Record) -> tuple[str, Record]:
    kind = type(record)
    floats: dict[str, Any] = {
        name: float(getattr(record, name)) for name in _FLOAT_FIELDS[kind]
    }
    return _TAG_BY_TYPE[kind], record._replace(**floats) if floats else record


def _decode(tag: str, raw: msgspec.Raw) -> Record:
    record: Record = _DECODERS[tag].decode(raw)
    return record


def _inflate(data: bytes) -> bytes:
    size = zstandard.frame_content_size(data)
    if not 0 <= size <= MAX_BATCH_BYTES:
        raise _corrupt(
            f'it claims {size} bytes; the limit is {MAX_BATCH_BYTES}.'
        )
    decompressor = zstandard.ZstdDecompressor()
    return decompressor.decompress(data, allow_extra_data=False)


def _corrupt(reason: str) -> CorruptRecordError:
    return CorruptRecordError(
        f'The stored bytes are not a batch of records: {reason}',
        remedy='Restore the journal object from a backup of the platform.',
    )
