"""Definitions with their file and line, and the check for duplicates."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from cactusledge.settings.document import Document
from cactusledge.settings.errors import Problem
from cactusledge.settings.schema import KEY_FIELDS, Definitions, key_of

DUPLICATE_REMEDY = 'Rename or remove one of them.'


class DefinitionFile(NamedTuple):
    """The definitions of one file."""

    document: Document
    definitions: Definitions


class Source(NamedTuple):
    """One definition and its position in a file."""

    kind: str
    position: int
    definition: Any
    document: Document

    def place(self, *fields: str | int) -> str:
        """Returns `path:line` of a field of the definition."""
        return self.document.place((self.kind, self.position, *fields))


def sources(files: Iterable[DefinitionFile], kind: str) -> Iterator[Source]:
    """Yields the definitions of one kind in all files."""
    for file in files:
        items = getattr(file.definitions, kind)
        for position, definition in enumerate(items):
            yield Source(kind, position, definition, file.document)


def check_duplicates(files: tuple[DefinitionFile, ...]) -> tuple[Problem, ...]:
    """Returns a problem for each name defined more than once."""
    problems: list[Problem] = []
    for kind in KEY_FIELDS:
        named = [
            (key_of(kind, source.definition), source.place())
            for source in sources(files, kind)
        ]
        problems.extend(_duplicates(f'{kind} entry', named))
    problems.extend(_duplicates('model or service', _routed_names(files)))
    problems.extend(_duplicates('token hash', _token_hashes(files)))
    for service in sources(files, 'services'):
        problems.extend(_duplicates('operation', _operation_names(service)))
    return tuple(dict.fromkeys(problems))


def _duplicates(
    what: str, named: Iterable[tuple[str, str]]
) -> Iterator[Problem]:
    first: dict[str, str] = {}
    for name, place in named:
        other = first.get(name)
        if other is None:
            first[name] = place
            continue
        yield Problem(
            place,
            f"The {what} '{name}' is also defined at {other}.",
            DUPLICATE_REMEDY,
        )


def _routed_names(
    files: tuple[DefinitionFile, ...],
) -> Iterator[tuple[str, str]]:
    """Yields all models, and services that have the name of a model.

    Endpoints refer to models and services by name in the same field, so a
    model and a service must not share a name.
    """
    models = {source.definition.name for source in sources(files, 'models')}
    for model in sources(files, 'models'):
        yield model.definition.name, model.place()
    for service in sources(files, 'services'):
        if service.definition.name in models:
            yield service.definition.name, service.place()


def _token_hashes(
    files: tuple[DefinitionFile, ...],
) -> Iterator[tuple[str, str]]:
    for source in sources(files, 'accounts'):
        for index, hashed in enumerate(source.definition.token_sha256):
            yield hashed, source.place('token_sha256', index)


def _operation_names(service: Source) -> Iterator[tuple[str, str]]:
    for index, operation in enumerate(service.definition.operations):
        yield operation.name, service.place('operations', index)
