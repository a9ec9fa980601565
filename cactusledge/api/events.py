"""Encodes a streamed call as server-sent events."""

from collections.abc import Iterator
from typing import Any

import msgspec

from cactusledge.models import Answer
from cactusledge.programs.calls.stream import CallEvent, CallStream

KEEP_ALIVE = b': waiting\n\n'


def answer_document(answer: Answer) -> dict[str, Any]:
    """Returns a call's final answer as a JSON document."""
    document = answer._asdict()
    document['outcome'] = str(answer.outcome)
    document['usage'] = answer.usage._asdict()
    return document


def event_bytes(name: str, document: object) -> bytes:
    """Encodes one server-sent event."""
    data = msgspec.json.encode(document)
    return b'event: %b\ndata: %b\n\n' % (name.encode(), data)


def stream_events(stream: CallStream, deadline_s: float) -> Iterator[bytes]:
    """Yields a call's encoded events; the last one is `answer`.

    Args:
        stream: The running call.
        deadline_s: Monotonic time at which the stream is closed without an
            `answer` event, so that the caller repeats the call.
    """
    yield KEEP_ALIVE
    for events in stream.follow(deadline_s):
        yield b''.join(map(_encode, events)) or KEEP_ALIVE


def _encode(event: CallEvent) -> bytes:
    if isinstance(event, Answer):
        return event_bytes('answer', answer_document(event))
    return event_bytes('text', event._asdict())
