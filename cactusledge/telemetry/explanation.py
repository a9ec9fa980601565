"""Collects the log lines of a request and finds what ended it."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

JSON_START = '{'
REQUEST_ENDED = 'gateway: request ended'
ANSWERED_REASON = 'answered'  # the reason logged when an endpoint answered
REQUEST_KEYS = ('request_id', 'turn_id')
CONTEXT_EVENTS = (
    'data centres cut off',
    'data centres in reach',
    'quorum lost',
    'group adopted',
    'configuration applied',
    'endpoint gone',
    'endpoint leaving',
    'platform: lost',
    'platform: regained',
    'stopping',
    'started',
)
HIDDEN_FIELDS = frozenset((
    'event',
    'instance',
    'level',
    'timestamp',
    'data_centre',
))

LogLine = Mapping[str, Any]


class Explanation(NamedTuple):
    """What the logs say about a request."""

    request_id: str
    lines: tuple[LogLine, ...]  # in log order within each instance
    context: tuple[LogLine, ...]  # state of its instances just before
    decision: LogLine | None  # the line that records its end


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parses the JSON log lines; text before the first brace is ignored."""
    lines: list[LogLine] = []
    for text in texts:
        start = text.find(JSON_START)
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            continue  # truncated, or written by another program
        if isinstance(found, dict) and 'event' in found:
            lines.append(found)
    return lines


def explain(lines: Iterable[LogLine], request_id: str) -> Explanation:
    """Returns the log lines about a request, in order, and its end.

    Lines stay in the order in which their instance wrote them and are not
    sorted by timestamp, because the clock may have been adjusted. Instances
    are ordered by their first line.
    """
    by_instance: dict[str, list[LogLine]] = {}
    for entry in lines:
        by_instance.setdefault(str(entry.get('instance', '')), []).append(entry)
    request_lines: list[LogLine] = []
    context: list[LogLine] = []
    for instance_lines in by_instance.values():
        found = [
            line
            for line in instance_lines
            if mentions_request(line, request_id)
        ]
        request_lines.extend(found)
        if found:
            context.extend(latest_context(instance_lines, found[0]))
    ended = [line for line in request_lines if line['event'] == REQUEST_ENDED]
    return Explanation(
        request_id,
        tuple(request_lines),
        tuple(context),
        ended[-1] if ended else None,
    )


def mentions_request(line: LogLine, request_id: str) -> bool:
    """Returns whether a line is about the request."""
    return any(line.get(key) == request_id for key in REQUEST_KEYS)


def latest_context(
    instance_lines: list[LogLine], first: LogLine
) -> list[LogLine]:
    """Returns the latest line of each context event before a line."""
    latest: dict[str, LogLine] = {}
    for line in instance_lines:
        if line is first:
            break
        for event in CONTEXT_EVENTS:
            if event in line['event']:
                latest[event] = line
    return list(latest.values())


def describe(line: LogLine) -> str:
    """Formats a line as text: time, instance, event, fields."""
    fields = ' '.join(
        f'{name}={line[name]}'
        for name in sorted(line)
        if name not in HIDDEN_FIELDS
    )
    when = str(line.get('timestamp', ''))
    return f'{when} {line.get("instance", "")} {line["event"]} {fields}'


def describe_cause(decision: LogLine) -> str:
    """Returns a description of what ended a request."""
    reason = str(decision.get('reason', ''))
    if reason != ANSWERED_REASON:
        return reason
    endpoint_id = decision.get('endpoint_id', '')
    return f'status {decision.get("status", "")} from endpoint {endpoint_id}'
