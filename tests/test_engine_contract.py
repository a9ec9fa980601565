"""Contract of model engines: fault, outcome, executions, text."""

import time

import pytest

from cactusledge.endpoints.engine import (
    Chunk,
    EngineClient,
    Finished,
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
from cactusledge.endpoints.pools import ConnectionPools, PoolLimits
from cactusledge.models import Outcome
from standins.engine_batch import BatchSettings
from standins.service_faults import Fault, FaultKind
from tests.engine_support import (
    LIMITS,
    PROMPT,
    TOKENS,
    replica_of,
    soon,
    stream,
)


def text_without_faults(engine, tokens=TOKENS):
    job_stream = next(
        one for one in engine.requests if one.job.request_id == 'r-1'
    )
    return ''.join(job_stream.text_of(index) for index in range(tokens))


def test_answer_comes_in_order_and_whole(engine_client, engine):
    *chunks, finished = stream(engine_client, engine)
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
def test_stream_is_whole_in_spite_of_a_fault(engine_client, engine, fault):
    engine.set_faults(fault)
    *chunks, finished = stream(engine_client, engine)
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
    engine_client, engine, fault, error, outcome, executions, tokens
):
    engine.set_faults(fault)
    with pytest.raises(EndpointError) as caught:
        list(stream(engine_client, engine))
    assert (type(caught.value), caught.value.outcome) == (
        error,
        Outcome(outcome),
    )
    assert len(engine.requests) == executions
    expected = text_without_faults(engine, tokens) if executions else ''
    assert caught.value.text == expected


def test_deadline_ends_a_stream(engine_client, start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.05))
    body = {'messages': [], 'max_tokens': 1000}
    events = engine_client.stream(
        replica_of(engine),
        body,
        request_id='r-1',
        deadline_s=time.monotonic() + 0.3,
        headers={},
    )
    with pytest.raises(EndpointDeadlineError) as caught:
        list(events)
    assert caught.value.text


def test_stream_moves_off_a_connection_that_went_silent(
    engine_client, start_engine
):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    events = stream(engine_client, engine)
    first = next(events)
    engine.set_faults(Fault(FaultKind.SILENCE_OPEN))
    *chunks, finished = [first, *events]
    assert [chunk.index for chunk in chunks] == list(range(TOKENS))
    assert finished.text == text_without_faults(engine)


def test_stream_does_not_meet_connections_that_went_silent(
    engine_client, engine
):
    list(stream(engine_client, engine))
    engine_client.read_state(replica_of(engine), deadline_s=soon())
    engine.set_faults(Fault(FaultKind.SILENCE_OPEN))
    assert isinstance(list(stream(engine_client, engine, 'r-2'))[-1], Finished)


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


def test_question_moves_off_a_silent_connection(engine_client, engine):
    replica = replica_of(engine)
    engine_client.read_state(replica, deadline_s=soon())
    engine.set_faults(Fault(FaultKind.SILENCE_OPEN))
    with pytest.raises(EndpointSilentError):
        engine_client.read_state(replica, deadline_s=soon())
    assert engine_client.read_state(replica, deadline_s=soon()).model


def test_leaving_engine_finishes_streams_and_takes_no_more(
    engine_client, start_engine
):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    events = stream(engine_client, engine)
    next(events)
    engine.leave()
    with pytest.raises(EndpointNotRunError):
        list(stream(engine_client, engine, 'r-2'))
    assert isinstance(list(events)[-1], Finished)


def test_cancel_ends_a_stream(engine_client, start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    events = stream(engine_client, engine, tokens=1000)
    assert isinstance(next(events), Chunk)
    replica = replica_of(engine)
    assert engine_client.cancel(replica, 'r-1', deadline_s=soon())
    assert list(events)[-1].finish_reason == 'cancelled'
    assert not engine_client.cancel(replica, 'r-1', deadline_s=soon())


def test_admission_is_first_come_within_the_batch_limit(
    engine_client, start_engine
):
    engine = start_engine(batch=BatchSettings(max_running=1, token_s=0.01))
    first = stream(engine_client, engine, tokens=1000)
    next(first)
    jobs = [
        engine.batch.submit(engine.requests[0].job._replace(request_id=name))
        for name in ('r-2', 'r-3')
    ]
    load = engine_client.load_report(replica_of(engine), deadline_s=soon())
    assert (load.running, load.waiting) == (1, 2)
    assert [job.produced for job in jobs] == [0, 0]


def test_abandoned_streams_give_their_connections_back(start_engine):
    engine = start_engine(batch=BatchSettings(token_s=0.01))
    pools = ConnectionPools(PoolLimits(fresh=1))
    engine_client = EngineClient(pools, LIMITS)
    for request_id in ('r-1', 'r-2'):
        events = stream(engine_client, engine, request_id)
        assert isinstance(next(events), Chunk)
        events.close()
    assert isinstance(list(stream(engine_client, engine, 'r-3'))[-1], Finished)
    pools.close()


def test_slow_reader_is_not_taken_for_a_silent_engine(engine):
    pools = ConnectionPools()
    engine_client = EngineClient(pools, LIMITS._replace(resumptions=0))
    events = stream(engine_client, engine)
    first = next(events)
    time.sleep(2 * LIMITS.inter_token_s)
    *chunks, _ = [first, *events]
    assert len(chunks) == TOKENS
    pools.close()
