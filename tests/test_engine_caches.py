"""Prompt caches of model engines: limits, moves, events."""

from standins.engine_cache import CHUNK_TOKENS, CacheSettings
from tests.engine_support import (
    PROMPT,
    replica_of,
    soon,
    stream,
)


def test_prefix_is_cached_exported_and_released(engine_client, start_engine):
    source, target = start_engine(), start_engine()
    list(stream(engine_client, source))
    again = list(stream(engine_client, source, 'r-2'))[-1]
    assert again.usage.cached_tokens == 2 * CHUNK_TOKENS
    replicas = replica_of(source), replica_of(target)
    export = engine_client.export_cache(replicas[0], 'p-1', deadline_s=soon())
    engine_client.import_cache(replicas[1], 'p-1', export, deadline_s=soon())
    moved = list(stream(engine_client, target))[-1]
    assert moved.usage.cached_tokens == 2 * CHUNK_TOKENS
    freed = [
        engine_client.release_cache(replicas[0], 'p-1', deadline_s=soon())
        for _ in range(2)
    ]
    assert freed == [2 * CHUNK_TOKENS, 0]
    assert not source.records()['cache']


def test_cache_keeps_within_its_limit(engine_client, start_engine):
    cache = CacheSettings(capacity_tokens=3 * CHUNK_TOKENS)
    engine = start_engine(cache=cache)
    for turn in range(3):
        prompt = f'{turn} {PROMPT}'
        list(stream(engine_client, engine, f'r-{turn}', prompt))
    load = engine_client.load_report(replica_of(engine), deadline_s=soon())
    assert load.memory_tokens == 3 * CHUNK_TOKENS


def test_lost_cache_events_are_noticed(engine_client, start_engine):
    engine = start_engine(cache=CacheSettings(event_loss_every=2))
    list(stream(engine_client, engine, prompt=PROMPT * 2))
    report = engine_client.cache_events(
        replica_of(engine), 0, deadline_s=soon()
    )
    assert [event.seq for event in report.events] == [1, 3]
    assert (report.last_seq, report.missing) == (3, 1)
