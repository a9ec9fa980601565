"""The follower applies only higher generations, from every source."""

import itertools
import threading
from functools import partial
from types import SimpleNamespace

import pytest

from cactusledge.errors import StoreNotFoundError, StoreUnavailableError
from cactusledge.settings.definitions import merge, parse_file
from cactusledge.settings.follower import ConfigFollower, FollowerTimings
from cactusledge.settings.parts import CorruptPartError
from cactusledge.settings.publish import Publisher, publish
from cactusledge.settings.snapshot import encode_snapshot

WAIT_S = 10
FAST_TIMINGS = FollowerTimings(
    watch_timeout_s=0.01, silence_timeout_s=0.01, retry_delay_s=0.01
)
LONG_TIMINGS = FollowerTimings(watch_timeout_s=WAIT_S, silence_timeout_s=WAIT_S)


def publish_model(store, name):
    text = f'models: [{{name: {name}, context_tokens: 9}}]'
    wanted = merge([parse_file('f.yaml', text.encode())])
    publisher = Publisher('abeba', sleep=lambda pause_s: None)
    return publish(store, wanted, None, publisher).generation


def event(stored):
    return SimpleNamespace(type='MODIFIED', object=stored)


def never():
    return False


def silent_watch(*args):
    threading.Event().wait(WAIT_S)
    return iter(())


def read_only_parts(read, kind, name):
    if kind == 'configheads':
        raise StoreUnavailableError('Down.', remedy='Wait.')
    return read(kind, name)


def read_and_signal(read, head_missing, kind, name):
    try:
        return read(kind, name)
    except StoreNotFoundError:
        head_missing.set()
        raise


def failing_watch(*args):
    raise StoreUnavailableError('Down.', remedy='Wait.')


def recording(follower, target=1):
    """Records applied generations; returns them and an event for `target`."""
    generations, reached = [], threading.Event()

    follower.on_change(partial(record, generations, reached, target))
    return generations, reached


def record(generations, reached, target, cfg):
    generations.append(cfg.generation)
    if cfg.generation >= target:
        reached.set()


def test_highest_generation_wins_in_any_order(store):
    heads = []
    for name in ('a', 'b', 'c'):
        publish_model(store, name)
        heads.append(store.objects['configheads', 'head'])
    for order in itertools.permutations(heads):
        follower = ConfigFollower(store)
        generations, _ = recording(follower)
        for head in order:
            store.objects['configheads', 'head'] = head
            follower.refresh()
        assert generations == sorted(set(generations))
        assert sorted(follower.current().models) == ['c']


def test_peer_configuration_applies_only_if_newer_and_intact(store):
    publish_model(store, 'a')
    first, second = ConfigFollower(store), ConfigFollower(store)
    assert first.refresh()
    snapshot = first.snapshot()
    assert second.apply_encoded(1, snapshot.encoded)
    assert second.current() == snapshot.configuration
    assert not second.apply_encoded(1, snapshot.encoded)
    assert not second.refresh()
    for damaged in (b'', snapshot.encoded[:-9], b'x' * 99):
        with pytest.raises(CorruptPartError):
            second.apply_encoded(9, damaged)
    assert not second.apply_encoded(9, snapshot.encoded)
    assert second.current().generation == 1


def test_peer_configuration_with_wrong_checksum_is_rejected(store, monkeypatch):
    publish_model(store, 'a')
    follower = ConfigFollower(store)
    monkeypatch.setattr(
        'cactusledge.settings.snapshot._checksum', lambda content: content.hex()
    )
    definitions = merge([parse_file('f.yaml', b'models: []')]).merged
    encoded = encode_snapshot(definitions, 3, '')
    monkeypatch.undo()
    with pytest.raises(CorruptPartError):
        follower.apply_encoded(3, encoded)


def test_only_changed_parts_are_read_again(store):
    publish_model(store, 'a')
    follower = ConfigFollower(store)
    follower.refresh()
    reads = store.requests.count(('read', 'configparts'))
    store.put(
        'configheads',
        'head',
        {
            **store.objects['configheads', 'head'].body,
            'generation': 2,
        },
    )
    assert follower.refresh()
    assert store.requests.count(('read', 'configparts')) == reads


def test_failing_callback_does_not_stop_the_others(store):
    publish_model(store, 'a')
    follower = ConfigFollower(store)
    follower.on_change(lambda cfg: {}[cfg.generation])
    generations, _ = recording(follower)
    follower.refresh()
    assert generations == [1]


@pytest.mark.parametrize('watch', [silent_watch, failing_watch])
def test_polling_replaces_a_silent_or_failing_watch(store, watch):
    store.watch = watch
    follower = ConfigFollower(store, timings=FAST_TIMINGS)
    _, reached = recording(follower)
    follower.start()
    publish_model(store, 'a')
    assert reached.wait(WAIT_S)
    follower.stop()


def test_watch_applies_the_newest_head(store):
    publish_model(store, 'a')
    publish_model(store, 'b')
    newest = store.objects['configheads', 'head']
    store.list = lambda *args: SimpleNamespace(items=(), version='0')
    store.read = partial(read_only_parts, store.read)
    bookmark = SimpleNamespace(name='', body={}, version='9')
    store.events = [event(bookmark), event(newest)]
    follower = ConfigFollower(store, timings=LONG_TIMINGS)
    _, reached = recording(follower, target=2)
    follower.start()
    assert reached.wait(WAIT_S)
    follower.stop()


def test_refresh_request_reads_the_head_at_once(store):
    follower = ConfigFollower(store, timings=LONG_TIMINGS, is_watcher=never)
    _, reached = recording(follower)
    has_read = threading.Event()
    store.read = partial(read_and_signal, store.read, has_read)
    follower.start()
    assert has_read.wait(WAIT_S / 2)
    follower.request_refresh_if_behind(publish_model(store, 'a'))
    assert reached.wait(WAIT_S / 2)
    follower.stop()
    assert ('list', 'configheads') not in store.requests
