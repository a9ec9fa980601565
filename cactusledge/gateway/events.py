"""Parses event streams (`text/event-stream`)."""

import enum

BLANK_LINE = b'\n\n'
BLANK_LINES = (BLANK_LINE, b'\r\n\r\n')
LINE_FEED = b'\n'
RETURN = b'\r'
LONGEST_BLANK = 4  # bytes of the longest blank line
PARTIAL_BYTES = 262144  # of an event that has not ended
DATA_FIELD = b'data:'
ID_FIELD = b'id:'


class EventTooLargeError(Exception):
    """An event did not end within what may be kept of it."""


class StreamPosition(enum.StrEnum):
    """Where in an event stream its last byte is."""

    BEFORE = 'before'  # no event has begun
    INSIDE = 'inside'  # an event has begun and not ended
    AFTER = 'after'  # the last event has ended


def position_of(stream: bytes) -> StreamPosition:
    """Returns where a stream stopped; a blank line ends an event."""
    if not stream:
        return StreamPosition.BEFORE
    if stream.endswith(BLANK_LINES):
        return StreamPosition.AFTER
    return StreamPosition.INSIDE


class EventCount:
    """Counts the events of a stream, and keeps where it is, not its bytes."""

    def __init__(self) -> None:
        """Starts before the first byte."""
        self._whole = 0
        self._carry = b''  # may be the first part of a blank line
        self._tail = b''

    @property
    def position(self) -> StreamPosition:
        """Where the stream is after its last byte."""
        return position_of(self._tail)

    @property
    def events(self) -> int:
        """The number of events; an incomplete last one counts as one."""
        tail = self._tail.replace(b'\r\n', LINE_FEED)
        has_partial = bool(tail) and not tail.endswith(BLANK_LINE)
        return self._whole + has_partial

    def feed(self, part: bytes) -> None:
        """Adds the next part of the stream."""
        text = (self._carry + part).replace(b'\r\n', LINE_FEED)
        self._whole += text.count(BLANK_LINE)
        feeds = len(text) - len(text.rstrip(LINE_FEED))
        self._carry = LINE_FEED if feeds % 2 else b''
        if text.endswith(RETURN):
            self._carry = carry_before_return(text)
        self._tail = (self._tail + part)[-LONGEST_BLANK:]


class EventSplitter:
    """Cuts a stream, which arrives in arbitrary parts, into whole events."""

    def __init__(self) -> None:
        """Starts before the first event."""
        self.last_event_id = ''  # of the last whole event, '' before it
        self._partial = b''

    def feed(self, part: bytes) -> bytes:
        """Returns the whole events up to this part; keeps the rest.

        Raises:
            EventTooLargeError: The event has not ended within the bound.
        """
        received = self._partial + part
        end = max(end_after(received, blank) for blank in BLANK_LINES)
        self._partial = received[end:]
        if len(self._partial) > PARTIAL_BYTES:
            raise EventTooLargeError
        whole = received[:end]
        self.last_event_id = last_id(whole) or self.last_event_id
        return whole

    def discard_partial(self) -> None:
        """Drops an event that broke off; the next part begins a new one."""
        self._partial = b''


def count_events(stream: bytes) -> int:
    """Returns the number of events; an incomplete last one counts as one."""
    text = stream.replace(b'\r\n', LINE_FEED)
    whole = text.count(BLANK_LINE)
    return whole if text.endswith(BLANK_LINE) or not text else whole + 1


def event_data(stream: bytes) -> bytes:
    """Returns the data of all events, each followed by a line feed."""
    text = stream.replace(b'\r\n', LINE_FEED)
    parts: list[bytes] = []
    for event in text.split(BLANK_LINE):
        found = data_of(event)
        if found is not None:
            parts.append(found)
    return b''.join(part + LINE_FEED for part in parts)


def data_of(event: bytes) -> bytes | None:
    """Returns the data of one event, None if it has no data field."""
    lines = [
        line.removeprefix(DATA_FIELD).removeprefix(b' ')
        for line in event.split(LINE_FEED)
        if line.startswith(DATA_FIELD)
    ]
    return LINE_FEED.join(lines) if lines else None


def carry_before_return(text: bytes) -> bytes:
    """Returns what to keep of a text that ends with a carriage return."""
    before = text[: -len(RETURN)]
    feeds = len(before) - len(before.rstrip(LINE_FEED))
    return LINE_FEED + RETURN if feeds % 2 else RETURN


def end_after(stream: bytes, separator: bytes) -> int:
    """Returns the position after the last separator, 0 if there is none."""
    found = stream.rfind(separator)
    return 0 if found < 0 else found + len(separator)


def last_id(events: bytes) -> str:
    """Returns the id of the last event that has one, '' if none has."""
    for line in reversed(events.splitlines()):
        if line.startswith(ID_FIELD):
            return line.removeprefix(ID_FIELD).strip().decode('latin-1')
    return ''
