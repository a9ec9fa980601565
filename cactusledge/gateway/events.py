"""Parses event streams (`text/event-stream`) for the turn records."""

BLANK_LINE = b'\n\n'
LINE_FEED = b'\n'
DATA_FIELD = b'data:'


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
