"""Computes the changes between published and wanted definitions."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from cactusledge.settings.schema import KEY_FIELDS, Definitions


class Action(enum.StrEnum):
    """What publishing does to a definition."""

    ADD = 'add'
    CHANGE = 'change'
    REMOVE = 'remove'


class FieldChange(NamedTuple):
    """One field whose value changes."""

    field: str  # dotted path; list entries by their name
    old: Any
    new: Any  # None if the field is removed


class Change(NamedTuple):
    """One definition that is added, changed or removed."""

    action: Action
    kind: str
    name: str
    fields: tuple[FieldChange, ...] = ()
    warning: str = ''


IDEMPOTENT_WARNING = (
    'Calls of an operation that is now idempotent may be repeated.'
)
REMOVAL_WARNING = 'Running programs that use it will be refused.'

_KINDS_WITH_REMOVAL_WARNING = frozenset(('programs', 'services', 'models'))


def plan(current: Definitions, wanted: Definitions) -> tuple[Change, ...]:
    """Returns the changes from `current` to `wanted`."""
    changes: list[Change] = []
    old_kinds = current.model_dump(mode='json')
    new_kinds = wanted.model_dump(mode='json')
    for kind, key_field in KEY_FIELDS.items():
        old_items = {item[key_field]: item for item in old_kinds[kind]}
        new_items = {item[key_field]: item for item in new_kinds[kind]}
        for name in sorted(old_items.keys() | new_items.keys()):
            old, new = old_items.get(name), new_items.get(name)
            if old != new:
                changes.append(_change(kind, name, old, new))
    return tuple(changes)


def _change(kind: str, name: str, old: Any, new: Any) -> Change:
    if old is None:
        return Change(Action.ADD, kind, name)
    if new is None:
        warning = REMOVAL_WARNING if kind in _KINDS_WITH_REMOVAL_WARNING else ''
        return Change(Action.REMOVE, kind, name, warning=warning)
    fields = tuple(_field_changes(_flatten(old), _flatten(new)))
    warning = IDEMPOTENT_WARNING if _becomes_idempotent(kind, old, new) else ''
    return Change(Action.CHANGE, kind, name, fields, warning)


def _becomes_idempotent(kind: str, old: Any, new: Any) -> bool:
    if kind != 'services':
        return False
    forbidden = {
        operation['name']
        for operation in old['operations']
        if not operation['idempotent']
    }
    allowed = {
        operation['name']
        for operation in new['operations']
        if operation['idempotent']
    }
    return bool(forbidden & allowed)


def _field_changes(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[FieldChange]:
    for field in sorted(old.keys() | new.keys()):
        change = FieldChange(field, old.get(field), new.get(field))
        if change.old != change.new:
            yield change


def _flatten(node: Any, prefix: str = '') -> dict[str, Any]:
    """Returns the fields of a definition by their dotted paths."""
    if _is_named_list(node):
        node = {item['name']: item for item in node}
    if not isinstance(node, dict):
        return {prefix: node}
    flat: dict[str, Any] = {}
    for name, child in node.items():
        flat.update(_flatten(child, f'{prefix}.{name}' if prefix else name))
    return flat


def _is_named_list(node: Any) -> bool:
    """Returns whether a node is a list of named items, such as operations."""
    return isinstance(node, list) and all(
        isinstance(item, dict) and 'name' in item for item in node
    )
