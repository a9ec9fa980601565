"""Decides from what was seen of an answer's end whether it was complete.

An answer without a framing ends with its connection, and so does one whose
endpoint crashes. An event stream that ends inside an event is broken off,
whatever its framing says.
"""

import enum
from typing import NamedTuple

from cactusledge.gateway.events import StreamPosition
from cactusledge.gateway.messages import Headers

LENGTH_HEADER = b'content-length'
CODING_HEADER = b'transfer-encoding'
CHUNKED_CODING = b'chunked'
# In the order in which `end_fields` fills them.
END_FIELDS = ('framing', 'transfer_end', 'last_event', 'completeness')


class Framing(enum.StrEnum):
    """How an answer says where its body ends."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    NONE = 'none'  # the body lasts until the connection ends


class TransferEnd(enum.StrEnum):
    """Why no more of an answer arrives."""

    FRAMED = 'framed'  # all that its framing announced has arrived
    CLOSED = 'closed'  # the endpoint closed the connection in order
    RESET = 'reset'  # the connection failed
    ABANDONED = 'abandoned'  # the gateway closed it: silent or invalid


class Transfer(NamedTuple):
    """How the bytes of an answer were delimited and stopped."""

    framing: Framing
    end: TransferEnd


class AnswerEnd(NamedTuple):
    """All that was seen of the end of an answer."""

    transfer: Transfer
    position: StreamPosition | None  # None unless it is an event stream


class Completeness(enum.StrEnum):
    """Whether an answer that has ended is whole."""

    COMPLETE = 'complete'
    UNPROVEN = 'unproven'  # nothing tells it from one that broke off
    BROKEN = 'broken'


ENDED_BY_CLOSE = Transfer(Framing.NONE, TransferEnd.CLOSED)


def completeness_of(seen: AnswerEnd) -> Completeness:
    """Returns whether an answer with this end is whole."""
    if seen.position is StreamPosition.INSIDE:
        return Completeness.BROKEN
    if seen.transfer.end is TransferEnd.FRAMED:
        return Completeness.COMPLETE
    is_empty_stream = seen.position is StreamPosition.BEFORE
    if seen.transfer == ENDED_BY_CLOSE and not is_empty_stream:
        return Completeness.UNPROVEN
    return Completeness.BROKEN


def framing_of(headers: Headers) -> Framing:
    """Returns the framing that the headers of an answer announce."""
    by_name = {name.lower(): content for name, content in headers}
    codings = by_name.get(CODING_HEADER)
    if codings is not None:
        last = codings.rpartition(b',')[2].strip().lower()
        return Framing.CHUNKS if last == CHUNKED_CODING else Framing.NONE
    return Framing.LENGTH if LENGTH_HEADER in by_name else Framing.NONE


def announced_length(headers: Headers) -> int:
    """Returns the length that the headers of an answer announce, or 0."""
    for name, content in headers:
        if name.lower() == LENGTH_HEADER:
            return int(content)
    return 0


def end_fields(seen: AnswerEnd | None) -> dict[str, str]:
    """Returns the end of an answer as fields of a log line or labels."""
    if seen is None:
        return dict.fromkeys(END_FIELDS, '')
    found = (
        seen.transfer.framing,
        seen.transfer.end,
        seen.position or '',
        completeness_of(seen),
    )
    return dict(zip(END_FIELDS, found, strict=True))
