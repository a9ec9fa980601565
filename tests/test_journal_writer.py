"""Journal writer and takeover with a store that injects faults."""

import functools
import itertools
import queue
import random
from concurrent.futures import ThreadPoolExecutor

import pytest

from cactusledge.errors import StoreUnavailableError
from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.programs.journal.options import WriterOptions
from cactusledge.programs.journal.takeover import TakeoverOptions, take_over
from cactusledge.programs.journal.writer import JournalWriter
from cactusledge.protocol import calls
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import (
    FencedError,
    JournalBusyError,
    JournalFailedError,
    JournalFullError,
)
from cactusledge.protocol.log_index import Retention
from cactusledge.protocol.program import apply, apply_all
from tests.fakes_store import FakeStore

RING_SIZE = 12
WAIT_S = 10
FAST_OPTIONS = WriterOptions(
    commit_interval_s=0,
    retry_base_s=0.001,
    retry_cap_s=0.002,
    now_s=lambda: 1000,
)
TAKEOVER_OPTIONS = TakeoverOptions(
    ring_size=RING_SIZE,
    retention=Retention(10),
    now_s=lambda: 1000,
    wait=lambda delay_s: None,
)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def executor():
    with ThreadPoolExecutor(4) as pool:
        yield pool


def start_writer(store, executor, started, owner, options=FAST_OPTIONS):
    taken = take_over(store, 'log', owner, options=TAKEOVER_OPTIONS)
    started.append(JournalWriter(store, taken, executor, options))
    return started[-1]


@pytest.fixture
def start(store, executor):
    started = []

    yield functools.partial(start_writer, store, executor, started)
    store.down = False
    for writer in started:
        writer.stop(0)


def opened(name='p', **changes):
    record = rec.Opened(name, 0, b'', 'acct', 'def', 100, '', 0, 1e6, 50)
    return record._replace(**changes)


def intent(state, seq=1, reserve=1, **changes):
    fields = {
        'program_id': state.program_id,
        'seq': seq,
        'key': f'k{seq}',
        'kind': CallKind.SERVICE,
        'target': 'svc',
        'operation': 'op',
        'idempotent': False,
        'body': {},
        'reserve': reserve,
    }
    spec = CallSpec(**{**fields, **changes})
    return calls.decide_call(state, spec, 1).records[0]


def stored_programs(store):
    return take_over(store, 'log', 'reader', options=TAKEOVER_OPTIONS).programs


@pytest.mark.parametrize(
    'faults',
    [
        [],
        ['unavailable'],
        ['lost_after'],
        ['lost_before'],
        ['delayed'],
        ['unavailable', 'lost_before', 'lost_after'],
        ['conflict'],
    ],
)
def test_append_is_durable_once_despite_faults(store, start, faults):
    writer = start('a')
    store.faults.extend(faults)
    before = store.writes
    writer.append([opened()]).get(timeout=WAIT_S)
    store.apply_delayed()
    assert store.writes == before + 1
    assert writer.platform_up()
    assert stored_programs(store)['p'] == apply(None, opened())


def test_old_owner_is_fenced_permanently(store, start):
    old = start('a')
    old.append([opened()]).get(timeout=WAIT_S)
    new = start('b')
    with pytest.raises(FencedError):
        old.append([intent(apply(None, opened()))]).get(timeout=WAIT_S)
    with pytest.raises(FencedError):
        old.append([opened('q')])
    new.append([opened('r')]).get(timeout=WAIT_S)
    assert set(stored_programs(store)) == {'p', 'r'}


def test_empty_append_detects_a_takeover(store, start):
    old = start('a')
    old.append([opened()]).get(timeout=WAIT_S)
    old.append([]).get(timeout=WAIT_S)
    start('b')
    with pytest.raises(FencedError):
        old.append([]).get(timeout=WAIT_S)
    assert set(stored_programs(store)) == {'p'}


def test_write_delayed_past_a_takeover_never_lands(store, start):
    old = start('a')
    store.faults.append('delayed')
    store.reads_blocked = True
    delayed_append = old.append([opened()])
    assert store.write_delayed.wait(WAIT_S)
    store.reads_blocked = False
    start('b')
    store.apply_delayed()
    with pytest.raises(FencedError):
        delayed_append.get(timeout=WAIT_S)
    assert 'p' not in stored_programs(store)


def test_ring_carries_live_programs_and_drops_ended_ones(store, start):
    writer = start('a')
    live = apply(None, opened('live'))
    writer.append([opened('live')]).get(timeout=WAIT_S)
    ended_program = apply(None, opened('gone'))
    ended = calls.end_records(ended_program, 'done', 5)
    writer.append([opened('gone'), *ended]).get(timeout=WAIT_S)
    for index in range(RING_SIZE * 4):
        name = f'p{index}'
        state = apply(None, opened(name))
        batch = [opened(name), *calls.end_records(state, 'done', 999)]
        writer.append(batch).get(timeout=WAIT_S)
    programs = stored_programs(store)
    assert programs['live'] == live
    assert 'gone' not in programs


def test_waiting_bytes_are_bounded_while_the_platform_is_down(store, start):
    writer = start('a', FAST_OPTIONS._replace(max_waiting_bytes=300))
    store.down = True
    batch = [opened('p', account='x' * 200)]
    future = writer.append(batch)
    with pytest.raises(JournalBusyError) as refusal:
        writer.append(batch)
    assert refusal.value.retry_after_s
    assert 200 < writer.waiting_bytes() <= 300
    assert writer.waiting_records() == tuple(batch)
    store.down = False
    future.get(timeout=WAIT_S)
    assert writer.waiting_bytes() == 0


def test_new_owner_appends_the_records_that_a_peer_held(store, start):
    writer = start('a')
    first = apply(None, opened())
    writer.append([opened()]).get(timeout=WAIT_S)
    call = intent(first)
    state = apply(first, call)
    outcome = calls.end_records(state, 'lost', 7)
    held = [opened(), call, *outcome, opened('x', prev=b'wrong')]
    taken = take_over(store, 'log', 'b', held, TAKEOVER_OPTIONS)
    assert taken.programs['p'] == apply_all(first, [call, *outcome])
    assert taken.appended == (call, *outcome)
    assert taken.rejected == (held[-1],)
    assert stored_programs(store)['p'] == taken.programs['p']


def test_concurrent_creators_make_one_ring(store):
    options = TAKEOVER_OPTIONS._replace(ring_size=3)
    first = take_over(store, 'log', 'a', options=options)
    second = take_over(store, 'log', 'b', options=TAKEOVER_OPTIONS)
    assert len(second.journal_state.versions) == 3
    assert second.previous_owner == first.journal_state.owner


def test_takeover_raises_unavailable_while_the_platform_is_down(store):
    store.down = True
    with pytest.raises(StoreUnavailableError):
        take_over(store, 'log', 'a', options=TAKEOVER_OPTIONS)


def test_stop_returns_what_is_not_durable(store, start):
    writer = start('a')
    store.down = True
    future = writer.append([opened()])
    assert writer.stop(0.01) == (opened(),)
    with pytest.raises(Exception, match='stopped'):
        future.get(timeout=WAIT_S)


def test_unexpected_error_fails_all_permanently(start):
    clock = iter([0])
    writer = start('a', FAST_OPTIONS._replace(monotonic_s=lambda: next(clock)))
    with pytest.raises(JournalFailedError) as failed:
        writer.append([opened()]).get(timeout=WAIT_S)
    assert failed.value.remedy
    assert writer.has_failed()


def test_program_appends_before_earlier_appends_are_durable(store, start):
    writer = start('a', FAST_OPTIONS._replace(commit_interval_s=0.001))
    state = apply(None, opened(turn_limit=50))
    futures = [writer.append([opened(turn_limit=50)])]
    for seq in range(1, 31):
        call = intent(state, seq)
        state = apply(state, call)
        answer = Answer('p', seq, Outcome.RAN, 200, {}, 1)
        outcome = calls.outcome_record(state, seq, answer)
        state = apply(state, outcome)
        futures.extend((writer.append([call]), writer.append([outcome])))
    for future in futures:
        future.get(timeout=WAIT_S)
    assert stored_programs(store)['p'] == state
    assert store.writes < len(futures)


def test_callback_gets_the_outcome(store, start):
    writer = start('a')
    results = queue.SimpleQueue()
    writer.append([opened()], results.put)
    assert results.get(timeout=WAIT_S) is None
    start('b')
    writer.append([opened('q')], results.put)
    assert isinstance(results.get(timeout=WAIT_S), FencedError)


def open_until_full(writer):
    noise = random.Random(3)
    for number in itertools.count():
        record = opened(f'p{number}', account=noise.randbytes(30_000).hex())
        writer.append([record]).get(timeout=WAIT_S)


def test_full_ring_refuses_openings_and_keeps_all_programs(store, start):
    writer = start('a')
    with pytest.raises(JournalFullError) as full:
        open_until_full(writer)
    assert full.value.retry_after_s
    programs = stored_programs(store)
    count = len(programs)
    assert count > 30
    new_owner = start('b')
    for name in sorted(programs)[:40]:
        ended = calls.end_records(programs[name], 'done', 1000)
        new_owner.append(ended).get(timeout=WAIT_S)
    assert len(stored_programs(store)) == count


FAULTS = ('', '', '', 'unavailable', 'lost_after', 'lost_before', 'delayed')


@pytest.mark.parametrize('seed', range(12))
def test_acknowledged_appends_survive_faults_and_takeovers(store, start, seed):
    rng = random.Random(seed)
    acknowledged = queue.SimpleQueue()
    for instance in ('a', 'b', 'c'):
        store.faults.clear()
        writer = start(instance)
        store.faults.extend(rng.choices(FAULTS, k=60))
        futures = [
            writer.append(
                [opened(f'{instance}{number}')],
                functools.partial(
                    collect_durable, acknowledged, f'{instance}{number}'
                ),
            )
            for number in range(20)
        ]
        for future in futures[: rng.randrange(20)]:
            future.get(timeout=WAIT_S)
        store.apply_delayed()
    store.faults.clear()
    programs = stored_programs(store)
    store.apply_delayed()
    known = {acknowledged.get() for _ in range(acknowledged.qsize())}
    assert known <= set(programs)
    assert set(stored_programs(store)) == set(programs)


def collect_durable(acknowledged, name, error):
    if error is None:
        acknowledged.put(name)
