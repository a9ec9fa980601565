"""Reads YAML documents and records the line number of every field.

Anchors, aliases, duplicate keys and deep nesting are rejected: settings need
none of them, and each can hide what the operator intended.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import yaml

from cactusledge.settings.errors import InvalidFileError, Problem

MAX_DEPTH = 16
MAX_FILE_BYTES = 8 * 1024 * 1024

# The C loader, where PyYAML includes it, is ten times as fast.
_Loader: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)

Location = tuple[str | int, ...]

_START_EVENTS = (yaml.MappingStartEvent, yaml.SequenceStartEvent)
_CONSTRUCTION_ERRORS = (ValueError, TypeError, KeyError, OverflowError)
_END_EVENTS = (yaml.MappingEndEvent, yaml.SequenceEndEvent)


class Document(NamedTuple):
    """Data read from YAML, and the line of each of its fields."""

    path: str
    data: Any
    lines: Mapping[Location, int]

    def place(self, loc: Location) -> str:
        """Returns `path:line` of the field, or of its closest known parent."""
        known = loc
        while known and known not in self.lines:
            known = known[:-1]
        return f'{self.path}:{self.lines.get(known, 1)}'


class _InvalidNodeError(Exception):
    """A YAML node that settings and definition files must not contain."""

    def __init__(self, line: int, message: str, remedy: str) -> None:
        super().__init__(message)
        self.line = line
        self.message = message
        self.remedy = remedy


class _NodeReader:
    """Converts YAML nodes to plain data and records their lines."""

    def __init__(self, loader: Any) -> None:
        self.lines: dict[Location, int] = {(): 1}
        self._loader = loader

    def plain_data(self, node: yaml.Node, loc: Location) -> Any:
        """Returns a node as a dict, a list or a scalar."""
        self.lines.setdefault(loc, _line(node))
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, loc)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.plain_data(item, (*loc, index))
                for index, item in enumerate(node.value)
            ]
        return self._scalar(node)

    def _mapping(self, node: yaml.MappingNode, loc: Location) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = self._key(key_node)
            if key in fields:
                raise _InvalidNodeError(
                    _line(key_node),
                    f"The field '{key}' appears twice.",
                    'Remove one of them.',
                )
            self.lines[*loc, key] = _line(key_node)
            fields[key] = self.plain_data(value_node, (*loc, key))
        return fields

    def _key(self, node: yaml.Node) -> str:
        is_scalar = isinstance(node, yaml.ScalarNode)
        key = self._scalar(node) if is_scalar else None
        if isinstance(key, str):
            return key
        raise _InvalidNodeError(
            _line(node),
            'A field name is not a plain string.',
            'Write the name as a string, in quotes if necessary.',
        )

    def _scalar(self, node: yaml.Node) -> Any:
        try:
            return self._loader.construct_object(node)
        except _CONSTRUCTION_ERRORS as exc:
            raise _InvalidNodeError(
                _line(node),
                f'The value cannot be read: {exc}.',
                'Put it in quotes if it is a string.',
            ) from exc


def read_document(path: Path, error: type[InvalidFileError]) -> Document:
    """Returns the YAML document of a file; raises `error` if it is invalid."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        problem = Problem(
            str(path),
            f'The file cannot be read: {exc.strerror}.',
            'Check the path and its permissions.',
        )
        raise error((problem,)) from exc
    return parse_document(str(path), raw, error)


def parse_document(
    path: str, raw: bytes, error: type[InvalidFileError]
) -> Document:
    """Returns the YAML document in `raw`; raises `error` if it is invalid."""
    try:
        return _parse(path, raw)
    except _InvalidNodeError as exc:
        problem = Problem(f'{path}:{exc.line}', exc.message, exc.remedy)
    except yaml.YAMLError as exc:
        problem = _syntax_problem(path, raw, exc)
    except UnicodeDecodeError as exc:
        line = 1 + raw[: exc.start].count(b'\n')
        problem = Problem(
            f'{path}:{line}',
            'The file is not UTF-8 text.',
            'Save it in UTF-8.',
        )
    raise error((problem,))


def _parse(path: str, raw: bytes) -> Document:
    if len(raw) > MAX_FILE_BYTES:
        raise _InvalidNodeError(
            1,
            f'The file is larger than {MAX_FILE_BYTES} bytes.',
            'Split it into several files.',
        )
    text = raw.decode('utf-8')
    _check_events(text)
    loader = _Loader(text)
    node = loader.get_single_node()
    reader = _NodeReader(loader)
    plain = {} if node is None else reader.plain_data(node, ())
    return Document(path, plain, reader.lines)


def _check_events(text: str) -> None:
    """Rejects anchors, aliases and deep nesting before building any node."""
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        depth += isinstance(event, _START_EVENTS) - isinstance(
            event, _END_EVENTS
        )
        if depth > MAX_DEPTH:
            raise _InvalidNodeError(
                _line_of(event.start_mark),
                f'The nesting is deeper than {MAX_DEPTH} levels.',
                'Write the fields as the reference page shows them.',
            )
        if getattr(event, 'anchor', None) is not None:
            raise _InvalidNodeError(
                _line_of(event.start_mark),
                'Anchors and aliases are not accepted.',
                'Write the value in full.',
            )


def _line(node: yaml.Node) -> int:
    return _line_of(node.start_mark)


def _line_of(mark: Any) -> int:
    """Returns the line number of a mark, starting at 1."""
    return int(mark.line) + 1 if mark else 1


def _syntax_problem(path: str, raw: bytes, exc: yaml.YAMLError) -> Problem:
    last_line = max(1, len(raw.splitlines()))
    mark = getattr(exc, 'problem_mark', None)
    detail = getattr(exc, 'problem', None) or 'unreadable characters'
    return Problem(
        f'{path}:{min(_line_of(mark), last_line)}',
        f'The file is not valid YAML: {detail}.',
        'Correct the syntax on this line.',
    )
