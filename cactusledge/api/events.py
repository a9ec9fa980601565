"""Server-sent events of a streamed call."""

import json
from collections.abc import Iterator
from typing import Any

from cactusledge.models import Answer
from cactusledge.programs.call_stream import CallStream, TextChunk

KEEP_ALIVE = b': waiting\n\n'


def answer_document(answer: Answer) -> dict[str, Any]:
    """Returns the JSON document of a call's final answer."""
    document = answer._asdict()
    document['outcome'] = str(answer.outcome)
    document['usage'] = answer.usage._asdict()
    return document


def event_bytes(name: str, document: object) -> bytes:
    """Returns one server-sent event."""
    return f'event: {name}\ndata: {json.dumps(document)}\n\n'.encode()


def stream_events(stream: CallStream, deadline_s: float) -> Iterator[bytes]:
    """Yields a call's events; the last one is `answer`.

    Args:
        stream: The running call.
        deadline_s: Monotonic time after which the stream is broken off
            without an `answer`, so that the caller repeats the call.
    """
    yield KEEP_ALIVE
    for event in stream.follow(deadline_s):
        if event is None:
            yield KEEP_ALIVE
        elif isinstance(event, TextChunk):
            yield event_bytes('text', event._asdict())
        else:
            yield event_bytes('answer', answer_document(event))
