"""Record kinds of the journal and their encoding.

Each record of a program names the program, the sequence number of the call
that it concerns (0 before the first one) and `prev`, the digest of the
program's previous record. Bytes are msgpack inside one zstandard frame.
"""

import hashlib
from collections.abc import Iterable, Mapping
from itertools import starmap
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

import msgspec
import zstandard

from cactusledge.models import CallKind, Outcome, Usage
from cactusledge.protocol.errors import CorruptRecordError
from cactusledge.protocol.state import ProgramState

DIGEST_BYTES = 16
NO_DIGEST = b''
MAX_BATCH_BYTES = 1 << 24  # decompressed
_COMPRESSION_LEVEL = 3


class Opened(NamedTuple):
    """A program began."""

    program_id: str
    seq: int
    prev: bytes
    account: str
    definition: str
    budget: int
    parent: str
    opened_at_s: float
    time_limit_s: float
    turn_limit: int
    idle_limit_s: float = 0


class Intent(NamedTuple):
    """A call is about to be sent; its reserve is held from now on."""

    program_id: str
    seq: int
    prev: bytes
    key: str
    kind: CallKind
    target: str
    operation: str
    idempotent: bool
    body: bytes
    reserve: int
    max_output_tokens: int = 0


class OutcomeRecorded(NamedTuple):
    """A call has its final outcome; NOT_RUN voids its intent."""

    program_id: str
    seq: int
    prev: bytes
    outcome: Outcome
    status: int
    body: bytes
    spent: int
    overrun: int = 0
    usage: Usage = Usage()
    endpoint: str = ''
    touched: tuple[str, ...] = ()
    code: str = ''
    remedy: str = ''


class Touched(NamedTuple):
    """An engine may hold the program's cache."""

    program_id: str
    seq: int
    prev: bytes
    endpoint: str


class ShareReserved(NamedTuple):
    """Part of the budget went to a sub-agent."""

    program_id: str
    seq: int
    prev: bytes
    child: str
    amount: int


class ShareReturned(NamedTuple):
    """A sub-agent ended; what it did not spend is free again."""

    program_id: str
    seq: int
    prev: bytes
    child: str
    spent: int


class Ended(NamedTuple):
    """A program takes no further calls."""

    program_id: str
    seq: int
    prev: bytes
    reason: str
    at_s: float


class CacheRelease(NamedTuple):
    """An engine has to release an ended program's cache, or has done so."""

    program_id: str
    seq: int
    prev: bytes
    endpoint: str
    done: bool


class ProgramSnapshot(NamedTuple):
    """A program's whole state; its earlier records may be overwritten."""

    program_id: str
    seq: int
    prev: bytes
    state: ProgramState


class Dropped(NamedTuple):
    """An ended program's records are past retention."""

    program_id: str
    seq: int
    prev: bytes


class Seal(NamedTuple):
    """A new owner took the log over."""

    owner: str
    previous: str


class Void(NamedTuple):
    """An append was given up; nothing else stands in its place."""

    owner: str


ProgramRecord: TypeAlias = (
    Opened
    | Intent
    | OutcomeRecorded
    | Touched
    | ShareReserved
    | ShareReturned
    | Ended
    | CacheRelease
    | ProgramSnapshot
    | Dropped
)
Record: TypeAlias = ProgramRecord | Seal | Void

_TYPES: Mapping[str, type[Any]] = MappingProxyType({
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
_TAGS = MappingProxyType({kind: tag for tag, kind in _TYPES.items()})
_DECODERS = MappingProxyType(
    {tag: msgspec.msgpack.Decoder(kind) for tag, kind in _TYPES.items()},
)
# An int in such a field would change the digest when it is read as a float.
_FLOAT_FIELDS: Mapping[type[Any], tuple[str, ...]] = MappingProxyType(
    {
        kind: tuple(
            name for name, hint in kind.__annotations__.items() if hint is float
        )
        for kind in _TYPES.values()
    },
)
_ENCODER = msgspec.msgpack.Encoder()
_BATCH = msgspec.msgpack.Decoder(list[tuple[str, msgspec.Raw]])


def encode_record(record: Record) -> bytes:
    """Returns the bytes of one record, the same for equal records."""
    return _ENCODER.encode(_tagged(record))


def digest_of(record: Record) -> bytes:
    """Returns the digest that the program's next record names."""
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
    """Returns the records that `encode_batch` was given.

    Raises:
        CorruptRecordError: If the bytes are anything else.
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
    return _TAGS[kind], record._replace(**floats) if floats else record


def _decode(tag: str, raw: msgspec.Raw) -> Record:
    record: Record = _DECODERS[tag].decode(raw)
    return record


def _inflate(data: bytes) -> bytes:
    size = zstandard.frame_content_size(data)
    if not 0 <= size <= MAX_BATCH_BYTES:
        raise _corrupt(f'The batch claims {size} bytes.')
    decompressor = zstandard.ZstdDecompressor()
    return decompressor.decompress(data, allow_extra_data=False)


def _corrupt(reason: str) -> CorruptRecordError:
    return CorruptRecordError(
        f'The stored bytes are not a batch of records: {reason}',
        remedy='Restore the journal object from a backup of the platform.',
    )
