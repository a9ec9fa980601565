"""Contract of model engines: fault, outcome, executions, text."""

import threading
import time
from functools import partial

import pytest

from cactusledge.endpoints.engine import (
    Accepted,
    Chunk,
    EngineClient,
    EngineLimits,
    Finished,
    Mismatch,
    Order,
    StaleFencing,
)
from cactusledge.endpoints.errors import (
    AnswerMismatchError,
    EndpointDeadlineError,
    EndpointError,
    EndpointFailedError,
    EndpointNotRunError,
    EndpointRefusedError,
    EndpointRejectedError,
    EndpointSilentError,
)
from cactusledge.endpoints.order_runner import EnginePort, run_order
from cactusledge.endpoints.order_states import OrderLimits, Phase
from cactusledge.endpoints.pools import ConnectionPools, PoolLimits
from cactusledge.models import Address, CallKind, Endpoint, Outcome
from standins.engine import EngineStandin
from standins.engine_batch import BatchSettings
from standins.engine_cache import CHUNK_TOKENS, CacheSettings
from standins.engine_settings import EngineSettings
from standins.service_faults import Fault, FaultKind

LIMITS = EngineLimits(
    connect_timeout_s=0.5,
    first_token_s=0.3,
    inter_token_s=0.2,
    order_timeout_s=0.2,
    resumptions=2,
)
TOKENS = 8
CHAT = '/v1/chat'
PROMPT = 'one two three four five six seven eight ' * 4  # two chunks


def start_and_keep(started, **settings):
    cfg = EngineSettings('e-1', 'ledger-agent', threads=6, **settings)
    started.append(EngineStandin(cfg))
    started[-1].start()
    return started[-1]


@pytest.fixture(name='start_engine')
def engine_starter():
    started = []
    yield partial(start_and_keep, started)
    for standin in started:
        standin.stop()


@pytest.fixture(name='engine')
def running_engine(start_engine):
    return start_engine()


@pytest.fixture(name='client')
def engine_client():
    pools = ConnectionPools()
    yield EngineClient(pools, LIMITS)
    pools.close()


def replica_of(engine):
    address = Address('127.0.0.1', engine.port)
    return Endpoint('e-1', 'ledger-agent', CallKind.MODEL, address, 'bole')


def soon():
    return time.monotonic() + 5


def stream(client, engine, request_id='r-1', prompt=PROMPT, tokens=TOKENS):
    body = {
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
    }
    headers = {
        'X-Program-Id': 'p-1',
        'X-Sequence': '2',
        'traceparent': '00-1-2-01',
    }
    return client.stream(
        replica_of(engine),
        body,
        request_id=request_id,
        deadline_s=soon(),
        headers=headers,
    )


def text_without_faults(engine, tokens=TOKENS):
    job_stream = next(
        one for one in engine.requests if one.job.request_id == 'r-1'
    )
    return ''.join(job_stream.text_of(index) for index in range(tokens))


def test_answer_comes_in_order_and_whole(client, engine):
    *chunks, finished = stream(client, engine)
    assert [chunk.index for chunk in chunks] == list(range(TOKENS))
    assert finished == Finished(
        text_without_faults(engine),
        (len(PROMPT.split()), 0, TOKENS),
        'stop',
    )
    record = engine.records()['requests'][0]
    assert record['traceparent'] == '00-1-2-01'
    assert (record['program'], record['seq']) == ('p-1', '2')


@pytest.mark.parametrize(
    'fault',
    [
        Fault(FaultKind.RESET_AFTER_EFFECT, 1),
        Fault(FaultKind.HALF_ANSWER, 1),
        Fault(FaultKind.SLOW, 1, parameter=0.05),
        Fault(FaultKind.HANG_AFTER_EFFECT, 1),
        Fault(FaultKind.ERROR_AFTER_EFFECT, 1),
        Fault(FaultKind.SLOW_TOKENS, 1, parameter=5),
        Fault(FaultKind.SILENT_AT, 1, parameter=3),
        Fault(FaultKind.CLOSE_AT, 1, parameter=3),
        Fault(FaultKind.CLOSE_AT, 2, parameter=3),
        Fault(FaultKind.OMIT_END, 1),
        Fault(FaultKind.DUPLICATE_CHUNK, 1, parameter=2),
    ],
    ids=str,
)
def test_stream_is_whole_in_spite_of_a_fault(client, engine, fault):
    engine.set_faults(fault)
    *chunks, finished = stream(client, engine)
    assert [chunk.index for chunk in chunks] == list(range(TOKENS))
    assert finished.text == text_without_faults(engine)
    assert len(engine.requests) == 1


@pytest.mark.parametrize(
    ('fault', 'error', 'outcome', 'executions', 'tokens'),
    [
        (Fault(FaultKind.REFUSE), EndpointRefusedError, 'NOT_RUN', 0, 0),
        (Fault(FaultKind.ERROR_NOT_RUN), EndpointNotRunError, 'NOT_RUN', 0, 0),
        (
            Fault(FaultKind.RESET_BEFORE_READING, 1),
            EndpointRejectedError,  # the engine does not know the stream
            'UNKNOWN',
            0,
            0,
        ),
        (
            Fault(FaultKind.RESET_BEFORE_READING),
            EndpointFailedError,
            'UNKNOWN',
            0,
            0,
        ),
        (Fault(FaultKind.HANG), EndpointSilentError, 'UNKNOWN', 0, 0),
        (
            Fault(FaultKind.SILENT_AT, parameter=3),
            EndpointSilentError,
            'UNKNOWN',
            1,
            4,
        ),
        (
            Fault(FaultKind.CLOSE_AT, parameter=3),
            EndpointFailedError,
            'UNKNOWN',
            1,
            4,
        ),
        (Fault(FaultKind.OMIT_END), EndpointFailedError, 'UNKNOWN', 1, TOKENS),
        (Fault(FaultKind.CROSSED), AnswerMismatchError, 'UNKNOWN', 1, 0),
    ],
    ids=str,
)
def test_lasting_fault_is_a_typed_error(
    client, engine, fault, error, outcome, executions, tokens
):
    engine.set_faults(fault)
    with pytest.raises(EndpointError) as caught:
        list(stream(client, engine))
    assert (type(caught.value), caught.value.outcome) == (
        error,
        Outcome(outcome),
    )
    assert len(engine.requests) == executions
    expected = text_without_faults(engine, tokens) if executions else ''
    assert caught.value.text == expected


def test_deadline_ends_a_stream(client, start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.05))
    body = {'messages': [], 'max_tokens': 1000}
    events = client.stream(
        replica_of(engine),
        body,
        request_id='r-1',
        deadline_s=time.monotonic() + 0.3,
        headers={},
    )
    with pytest.raises(EndpointDeadlineError) as caught:
        list(events)
    assert caught.value.text


def test_stream_moves_off_a_connection_that_went_silent(client, start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    events = stream(client, engine)
    first = next(events)
    engine.set_faults(Fault(FaultKind.SILENCE_OPEN))
    *chunks, finished = [first, *events]
    assert [chunk.index for chunk in chunks] == list(range(TOKENS))
    assert finished.text == text_without_faults(engine)


def test_stream_does_not_meet_connections_that_went_silent(client, engine):
    list(stream(client, engine))
    client.read_state(replica_of(engine), deadline_s=soon())
    engine.set_faults(Fault(FaultKind.SILENCE_OPEN))
    assert isinstance(list(stream(client, engine, 'r-2'))[-1], Finished)


def test_silence_is_found_on_a_connection_that_the_engine_will_close(engine):
    pools = ConnectionPools()
    limits = LIMITS._replace(first_token_s=30, resumptions=0)
    engine.set_faults(Fault(FaultKind.SILENT_AT, parameter=3))
    events = EngineClient(pools, limits).stream(
        replica_of(engine),
        {'messages': [], 'max_tokens': TOKENS},
        request_id='r-1',
        deadline_s=soon(),
        headers={'Connection': 'close'},
    )
    with pytest.raises(EndpointSilentError):
        list(events)
    pools.close()


def test_question_moves_off_a_silent_connection(client, engine):
    replica = replica_of(engine)
    client.read_state(replica, deadline_s=soon())
    engine.set_faults(Fault(FaultKind.SILENCE_OPEN))
    with pytest.raises(EndpointSilentError):
        client.read_state(replica, deadline_s=soon())
    assert client.read_state(replica, deadline_s=soon()).model


def test_leaving_engine_finishes_streams_and_takes_no_more(
    client, start_engine
):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    events = stream(client, engine)
    next(events)
    engine.leave()
    with pytest.raises(EndpointNotRunError):
        list(stream(client, engine, 'r-2'))
    assert isinstance(list(events)[-1], Finished)


def test_cancel_ends_a_stream(client, start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    events = stream(client, engine, tokens=1000)
    assert isinstance(next(events), Chunk)
    replica = replica_of(engine)
    assert client.cancel(replica, 'r-1', deadline_s=soon())
    assert list(events)[-1].finish_reason == 'cancelled'
    assert not client.cancel(replica, 'r-1', deadline_s=soon())


def test_admission_is_first_come_within_the_batch_limit(client, start_engine):
    engine = start_engine(batch=BatchSettings(max_running=1, token_s=0.01))
    first = stream(client, engine, tokens=1000)
    next(first)
    jobs = [
        engine.batch.submit(engine.requests[0].job._replace(request_id=name))
        for name in ('r-2', 'r-3')
    ]
    load = client.load_report(replica_of(engine), deadline_s=soon())
    assert (load.running, load.waiting) == (1, 2)
    assert [job.produced for job in jobs] == [0, 0]


def test_prefix_is_cached_exported_and_released(client, start_engine):
    source, target = start_engine(), start_engine()
    list(stream(client, source))
    again = list(stream(client, source, 'r-2'))[-1]
    assert again.usage.cached_tokens == 2 * CHUNK_TOKENS
    replicas = replica_of(source), replica_of(target)
    export = client.export_cache(replicas[0], 'p-1', deadline_s=soon())
    client.import_cache(replicas[1], 'p-1', export, deadline_s=soon())
    moved = list(stream(client, target))[-1]
    assert moved.usage.cached_tokens == 2 * CHUNK_TOKENS
    freed = [
        client.release_cache(replicas[0], 'p-1', deadline_s=soon())
        for _ in range(2)
    ]
    assert freed == [2 * CHUNK_TOKENS, 0]
    assert not source.records()['cache']


def test_cache_keeps_within_its_limit(client, start_engine):
    cache = CacheSettings(capacity_tokens=3 * CHUNK_TOKENS)
    engine = start_engine(cache=cache)
    for turn in range(3):
        prompt = f'{turn} {PROMPT}'
        list(stream(client, engine, f'r-{turn}', prompt))
    load = client.load_report(replica_of(engine), deadline_s=soon())
    assert load.memory_tokens == 3 * CHUNK_TOKENS


def test_lost_cache_events_are_noticed(client, start_engine):
    engine = start_engine(cache=CacheSettings(event_loss_every=2))
    list(stream(client, engine, prompt=PROMPT * 2))
    report = client.cache_events(replica_of(engine), 0, deadline_s=soon())
    assert [event.seq for event in report.events] == [1, 3]
    assert (report.last_seq, report.missing) == (3, 1)


@pytest.mark.parametrize(
    ('ignore_fencing', 'result_type', 'model'),
    [(False, StaleFencing, 'm-2'), (True, Accepted, 'm-1')],
)
def test_old_fencing_number(
    client, start_engine, ignore_fencing, result_type, model
):
    engine = start_engine(ignore_fencing=ignore_fencing)
    replica = replica_of(engine)
    newer = client.order(replica, Order(7, 'm-2'), deadline_s=soon())
    older = client.order(replica, Order(6, 'm-1'), deadline_s=soon())
    assert (type(newer), type(older)) == (Accepted, result_type)
    assert engine.orders.state.model == model


def test_order_is_read_back(client, engine):
    replica = replica_of(engine)
    engine.orders.broken = True
    result = client.order(replica, Order(1, 'm-2'), deadline_s=soon())
    assert isinstance(result, Mismatch)


def test_lost_answer_to_an_order_is_settled_by_reading(client, engine):
    engine.set_faults(Fault(FaultKind.RESET_AFTER_EFFECT, 1, '/v1/orders'))
    result = client.order(
        replica_of(engine), Order(1, 'm-2'), deadline_s=soon()
    )
    assert isinstance(result, Accepted)


@pytest.mark.parametrize(
    'faults',
    [
        (Fault(FaultKind.HANG, match='/v1/orders'),),
        (Fault(FaultKind.ERROR_AFTER_EFFECT, match='/v1/'),),
        (Fault(FaultKind.ERROR_NOT_RUN, match='/v1/state'),),
        (
            Fault(FaultKind.HANG, match='/v1/orders'),
            Fault(FaultKind.ERROR_NOT_RUN, match='/v1/state'),
        ),
    ],
    ids=str,
)
def test_order_that_cannot_be_read_back_is_unknown(client, engine, faults):
    engine.set_faults(*faults)
    with pytest.raises(EndpointFailedError) as caught:
        client.order(replica_of(engine), Order(1, 'm-2'), deadline_s=soon())
    assert caught.value.outcome is Outcome.UNKNOWN


def test_abandoned_streams_give_their_connections_back(start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    pools = ConnectionPools(PoolLimits(fresh=1))
    client = EngineClient(pools, LIMITS)
    for request_id in ('r-1', 'r-2'):
        events = stream(client, engine, request_id)
        assert isinstance(next(events), Chunk)
        events.close()
    assert isinstance(list(stream(client, engine, 'r-3'))[-1], Finished)
    pools.close()


def test_slow_reader_is_not_taken_for_a_silent_engine(engine):
    pools = ConnectionPools()
    client = EngineClient(pools, LIMITS._replace(resumptions=0))
    events = stream(client, engine)
    first = next(events)
    time.sleep(2 * LIMITS.inter_token_s)
    *chunks, _ = [first, *events]
    assert len(chunks) == TOKENS
    pools.close()


@pytest.mark.parametrize(
    ('is_owner', 'stopped', 'phase', 'orders'),
    [
        (True, False, Phase.DONE, 1),
        (False, False, Phase.SUPERSEDED, 0),
        (True, True, Phase.SUPERSEDED, 0),
    ],
)
def test_order_owner_of_an_engine_that_ignores_fencing(
    client, start_engine, is_owner, stopped, phase, orders
):
    engine = start_engine(ignore_fencing=True)
    stop = threading.Event()
    if stopped:
        stop.set()
    port = EnginePort(client, replica_of(engine), lambda: is_owner, stop)
    limits = OrderLimits(send_window_s=0.5, longest_order_s=0.5, max_attempts=1)
    progress = run_order(port, Order(3, 'm-2'), limits)
    assert progress.phase is phase
    assert len(engine.orders.records) == orders
