"""Puts the log lines of a request in order and names what ended it."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

JSON_START = '{'
REQUEST_ENDED = 'gateway: request ended'
ANSWERED_REASON = 'answered'  # the reason of an endpoint's own answer
REQUEST_KEYS = ('request_id', 'turn_id')
CONTEXT_EVENTS = (
    'data centres cut off',
    'data centres in reach',
    'quorum lost',
    'group adopted',
    'configuration applied',
    'endpoint gone',
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

Line = Mapping[str, Any]


class Explanation(NamedTuple):
    """The way of a request."""

    request_id: str
    lines: tuple[Line, ...]  # in the order of their instance's log
    context: tuple[Line, ...]  # what its instance believed just before
    decision: Line | None  # the line that ended it


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Returns the JSON lines; what stands before the brace is dropped."""
    lines: list[Line] = []
    for text in texts:
        start = text.find(JSON_START)
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            continue  # a torn line, or another program's
        if isinstance(found, dict) and 'event' in found:
            lines.append(found)
    return lines


def explain(lines: Iterable[Line], request_id: str) -> Explanation:
    """Returns the way of a request through the logs.

    Lines keep the order in which their instance wrote them: the time of day
    may have jumped. Instances are put in the order of their first line.
    """
    by_instance: dict[str, list[Line]] = {}
    for log_line in lines:
        by_instance.setdefault(str(log_line.get('instance', '')), []).append(
            log_line
        )
    request_lines: list[Line] = []
    context: list[Line] = []
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


def mentions_request(line: Line, request_id: str) -> bool:
    """Returns whether a line tells of the request."""
    return any(line.get(key) == request_id for key in REQUEST_KEYS)


def latest_context(instance_lines: list[Line], first: Line) -> list[Line]:
    """Returns the last word on each belief before a line."""
    latest: dict[str, Line] = {}
    for line in instance_lines:
        if line is first:
            break
        for event in CONTEXT_EVENTS:
            if event in line['event']:
                latest[event] = line
    return list(latest.values())


def describe(line: Line) -> str:
    """Returns a line for people: time, instance, event, fields."""
    fields = ' '.join(
        f'{name}={line[name]}'
        for name in sorted(line)
        if name not in HIDDEN_FIELDS
    )
    when = str(line.get('timestamp', ''))
    return f'{when} {line.get("instance", "")} {line["event"]} {fields}'


def describe_cause(decision: Line) -> str:
    """Returns what ended a request, in words."""
    reason = str(decision.get('reason', ''))
    if reason != ANSWERED_REASON:
        return reason
    endpoint_id = decision.get('endpoint_id', '')
    return f'status {decision.get("status", "")} from endpoint {endpoint_id}'
