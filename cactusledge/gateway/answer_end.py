"""What was seen of the end of an endpoint's answer."""

import enum
from typing import NamedTuple

from cactusledge.gateway.events import StreamPosition
from cactusledge.gateway.messages import Headers

LENGTH_HEADER = b'content-length'
CODING_HEADER = b'transfer-encoding'
CHUNKED_CODING = b'chunked'


class Framing(enum.StrEnum):
    """How an answer says where its body ends."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    NONE = 'none'  # the body lasts until the connection ends


class TransferEnd(enum.StrEnum):
    """Why no more of an answer arrives."""

    FRAMED = 'framed'  # the end that its framing gives was reached
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


def framing_of(headers: Headers) -> Framing:
    """Returns the framing that the headers of an answer announce."""
    by_name = {name.lower(): content for name, content in headers}
    codings = by_name.get(CODING_HEADER)
    if codings is not None:
        last = codings.rpartition(b',')[2].strip().lower()
        return Framing.CHUNKS if last == CHUNKED_CODING else Framing.NONE
    return Framing.LENGTH if LENGTH_HEADER in by_name else Framing.NONE


def end_fields(seen: AnswerEnd | None) -> dict[str, str]:
    """Returns the end of an answer as fields of a log line or labels."""
    if seen is None:
        return {'framing': '', 'transfer_end': '', 'last_event': ''}
    return {
        'framing': seen.transfer.framing,
        'transfer_end': seen.transfer.end,
        'last_event': seen.position or '',
    }
