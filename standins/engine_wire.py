"""Wire format of the engine stand-in: prompts in, chunks out."""

import json
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

from standins.engine_batch import (
    DEFAULT_OUTPUT_TOKENS,
    Batch,
    Job,
    Stream,
)
from standins.http import ConnectionClosedFault, ConnectionSilentFault, Request
from standins.service_faults import Fault, FaultKind

NO_FAULT = Fault(FaultKind.SLOW)
END_MARKER = b'data: [DONE]\n\n'


def job_of(request: Request, request_id: str) -> Job:
    """Returns the job that a completion request asks for."""
    body = request.document()
    fault = request.fault or NO_FAULT
    slow = fault.kind is FaultKind.SLOW_TOKENS
    limit = body.get('standin_tokens') or body.get('max_tokens')
    return Job(
        request_id=request_id,
        program=request.headers.get('x-program-id', ''),
        seq=request.headers.get('x-sequence', ''),
        words=_words(body),
        max_tokens=int(limit or DEFAULT_OUTPUT_TOKENS),
        slow_factor=fault.parameter if slow else 1,
        traceparent=request.headers.get('traceparent', ''),
    )


def _words(body: Mapping[str, Any]) -> list[str]:
    words: list[str] = []
    for message in body.get('messages', ()):
        words.extend(str(message.get('content', '')).split())
    return words


def whole_answer(batch: Batch, stream: Stream, fault: Fault) -> bytes:
    """Returns the answer in one piece, once the stream has ended."""
    indexes = [index for new in batch.follow(stream, 0) for index in new]
    text = ''.join(stream.text_of(index) for index in indexes)
    document = {
        'id': _answer_id(stream, fault),
        'object': 'chat.completion',
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': stream.reason,
            },
        ],
        'usage': stream.usage(),
    }
    return json.dumps(document).encode()


def event_stream(
    batch: Batch,
    stream: Stream,
    offset: int,
    fault: Fault,
) -> Iterator[bytes]:
    """Yields the server-sent events from a token offset."""
    request_id = _answer_id(stream, fault)
    for indexes in batch.follow(stream, offset):
        before_break = [
            index for index in indexes if not _breaks_before(index, fault)
        ]
        yield b''.join(
            _faulty_event(_event(request_id, stream, index), index, fault)
            for index in before_break
        )
        _break_off(indexes[-1], fault)
    if fault.kind is FaultKind.OMIT_END:
        return
    yield _last_event(request_id, stream) + END_MARKER


def _answer_id(stream: Stream, fault: Fault) -> str:
    crossed = fault.kind is FaultKind.CROSSED
    return 'another-request' if crossed else stream.job.request_id


def _event(request_id: str, stream: Stream, index: int) -> bytes:
    choice = {
        'index': 0,
        'delta': {'content': stream.text_of(index)},
        'finish_reason': None,
    }
    return _encode({
        'id': request_id,
        'object': 'chat.completion.chunk',
        'token_offset': index,
        'choices': [choice],
    })


def _last_event(request_id: str, stream: Stream) -> bytes:
    choice = {'index': 0, 'delta': {}, 'finish_reason': stream.reason}
    return _encode({
        'id': request_id,
        'object': 'chat.completion.chunk',
        'token_offset': stream.produced,
        'choices': [choice],
        'usage': stream.usage(),
    })


def _encode(document: Mapping[str, Any]) -> bytes:
    return b'data: %b\n\n' % json.dumps(document).encode()


def _faulty_event(event: bytes, index: int, fault: Fault) -> bytes:
    twice = fault.kind is FaultKind.DUPLICATE_CHUNK
    return event * 2 if twice and index == int(fault.parameter) else event


def _breaks_before(index: int, fault: Fault) -> bool:
    return fault.kind in _BREAKS and index > int(fault.parameter)


def _break_off(index: int, fault: Fault) -> None:
    signal = _BREAKS.get(fault.kind)
    if signal is not None and index >= int(fault.parameter):
        raise signal


_BREAKS = MappingProxyType({
    FaultKind.SILENT_AT: ConnectionSilentFault,
    FaultKind.CLOSE_AT: ConnectionClosedFault,
})
