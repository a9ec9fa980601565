"""Cost of the configuration by accounts, and of a change."""

import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec
import yaml

from benchmarks.capacity_series import Series
from benchmarks.load_world import definitions
from cactusledge.settings.definitions import (
    DefinitionSet,
    build_configuration,
    digest_of,
    merge,
    parse_file,
)
from cactusledge.settings.parts import join_parts, split_parts
from cactusledge.settings.snapshot import decode_snapshot, encode_snapshot

ACCOUNTS = (100, 1000, 3250, 6500)
MS_PER_S = 1000
MB = 1_000_000


def collected(accounts: int) -> tuple[DefinitionSet, float]:
    """Returns definitions, and the time from their file in milliseconds."""
    raw = yaml.safe_dump(definitions(accounts)).encode()
    return timed(lambda: merge([parse_file('load.cactusledge.yaml', raw)]))


def timed(work: Callable[[], Any]) -> tuple[Any, float]:
    """Returns what the work gives and its processor time in milliseconds."""
    began_s = time.process_time()
    done = work()
    return done, (time.process_time() - began_s) * MS_PER_S


class Row(NamedTuple):
    """Figures of one number of accounts, in the order of the header."""

    accounts: int
    parse_ms: float
    apply_ms: float
    encode_ms: float
    decode_ms: float
    held_mb: float
    peak_mb: float
    parts_mb: float
    snapshot_mb: float


def _measure(accounts: int) -> Row:
    found, parse_ms = collected(accounts)
    parts = split_parts(found.merged)
    definitions_read = join_parts(parts)
    identity = (1, digest_of(found.merged))
    encoded, encode_ms = timed(
        lambda: encode_snapshot(definitions_read, *identity),
    )
    return Row(
        accounts=accounts,
        parse_ms=parse_ms,
        apply_ms=timed(
            lambda: build_configuration(join_parts(parts), *identity)
        )[1],
        encode_ms=encode_ms,
        decode_ms=timed(lambda: decode_snapshot(encoded))[1],
        **_memory(lambda: build_configuration(join_parts(parts), *identity)),
        parts_mb=sum(len(part.content) for part in parts) / MB,
        snapshot_mb=len(encoded) / MB,
    )


def _memory(build: Callable[[], Any]) -> dict[str, float]:
    """Returns what a built object holds, and the peak while it is built."""
    tracemalloc.start()
    built = build()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {'held_mb': held / MB if built else 0, 'peak_mb': peak / MB}


def _changed(accounts: int) -> tuple[float, ...]:
    """Returns the parts and bytes that a change of one account writes."""
    before, _ = collected(accounts)
    old = {part.name for part in split_parts(before.merged)}
    document = definitions(accounts)
    document['accounts'][accounts // 2]['max_programs'] = 7
    raw = yaml.safe_dump(document).encode()
    after = merge([parse_file('load.cactusledge.yaml', raw)])
    parts = split_parts(after.merged)
    news = [part for part in parts if part.name not in old]
    head_bytes = len(msgspec.json.encode([part.name for part in parts]))
    content_bytes = sum(len(part.content) for part in news)
    return accounts, len(news), content_bytes, head_bytes


def series() -> Iterator[Series]:
    """Measures parsing, applying and memory by accounts."""
    yield Series(
        'Configuration by accounts',
        (
            'accounts',
            'files to definitions CPU ms',
            'parts to configuration CPU ms',
            'snapshot for peers CPU ms',
            'snapshot read CPU ms',
            'held MB',
            'peak while applied MB',
            'parts MB',
            'snapshot MB',
        ),
        tuple(_measure(accounts) for accounts in ACCOUNTS),
        'An instance that applies a head pays the second and third column.',
    )
    yield Series(
        'A change of one account',
        ('accounts', 'parts read', 'bytes of parts', 'bytes of part names'),
        tuple(_changed(accounts) for accounts in ACCOUNTS),
    )
