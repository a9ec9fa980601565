"""Streams of running calls, and calls repeated at a log's new owner."""

import time

import pytest

from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.programs.calls.fenced import FencedCallRetrier
from cactusledge.programs.calls.stream import (
    CallStream,
    JoinedStream,
    TextChunk,
)
from cactusledge.programs.calls.tasks import CallTask
from cactusledge.programs.errors import platform_down_error
from cactusledge.protocol.program import replay
from cactusledge.protocol.records import Opened
from cactusledge.settings.configuration import Program

ANSWER = Answer('bole-0.ab', 1, Outcome.RAN, 200, {'text': 'ab'}, 3)
OPENED = Opened('bole-0.ab', 0, b'', 'a', 'itinerary', 1000, '', 0, 60, 10)
PROGRAM = Program('itinerary', ('m',), (), 1000, 10, 60, 60, 10, 10)


@pytest.fixture
def stream():
    started = CallStream()
    started.put_text('a')
    started.put_text('b')
    return started


@pytest.fixture
def task():
    spec = CallSpec(
        program_id='bole-0.ab',
        seq=1,
        key='k',
        kind=CallKind.MODEL,
        target='m',
        operation='chat',
        idempotent=True,
        body={'messages': []},
        reserve=10,
    )
    return CallTask(
        spec=spec,
        state=replay([OPENED])['bole-0.ab'],
        program=PROGRAM,
        stream=CallStream(),
        intent=None,
        driver=None,
        deadline_s=time.monotonic() + 5,
    )


def test_reader_may_start_at_any_offset(stream):
    stream.finish(ANSWER)
    stream.put_text('late')
    assert stream.read(1, 0) == [TextChunk('b'), ANSWER]
    assert stream.read(3, 0) == []
    assert stream.wait(0.1) == ANSWER


def test_wait_returns_none_after_timeout(stream):
    assert stream.wait(0.01) is None


@pytest.mark.parametrize(
    ('outcome', 'expected'),
    [
        (Outcome.RAN, Outcome.RAN),
        (Outcome.UNKNOWN, Outcome.UNKNOWN),
        (Outcome.NOT_RUN, Outcome.UNKNOWN),
    ],
)
def test_joined_request_never_gets_not_run(stream, outcome, expected):
    joined = JoinedStream(stream)
    stream.finish(ANSWER._replace(outcome=outcome))
    assert joined.finished
    assert joined.wait(0.1).outcome is expected
    assert joined.read(0, 0)[:2] == [TextChunk('a'), TextChunk('b')]


def test_fenced_call_gets_new_owners_text_and_answer(task, stream):
    stream.finish(ANSWER)
    retrier = FencedCallRetrier()
    retrier.repeat_call = lambda args: stream
    assert retrier.retry(task) == ANSWER
    assert task.stream.read(0, 0) == [
        TextChunk('', restart=True),
        TextChunk('a'),
        TextChunk('b'),
    ]


def test_fenced_call_returns_new_owners_refusal(task):
    def refuse(args):
        raise platform_down_error()

    retrier = FencedCallRetrier()
    retrier.repeat_call = refuse
    answer = retrier.retry(task)
    assert (answer.outcome, answer.code) == (
        Outcome.NOT_RUN,
        'store_unavailable',
    )
