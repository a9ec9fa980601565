"""Checks references between definitions, and token limits of programs."""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusledge.settings.errors import Problem, nearest_name
from cactusledge.settings.schema import KEY_FIELDS, key_of
from cactusledge.settings.sources import DefinitionFile, Source, sources

NamesByKind = Mapping[str, frozenset[str]]


class Reference(NamedTuple):
    """A list field that refers to definitions of another kind by name."""

    kind: str
    field: str
    target: str


LIST_REFERENCES = (
    Reference('programs', 'models', 'models'),
    Reference('programs', 'services', 'services'),
    Reference('accounts', 'programs', 'programs'),
)
UNDEFINED_REMEDY = 'Define it, or remove the reference.'
TARGET_OF_ENDPOINT_KIND: Mapping[str, str] = MappingProxyType({
    'model': 'models',
    'service': 'services',
})


def check_references(files: tuple[DefinitionFile, ...]) -> tuple[Problem, ...]:
    """Returns a problem for each invalid reference or token limit."""
    names = {
        kind: frozenset(
            key_of(kind, one.definition) for one in sources(files, kind)
        )
        for kind in KEY_FIELDS
    }
    operations = {
        one.definition.name: one for one in sources(files, 'services')
    }
    return (
        *_list_references(files, names),
        *_single_references(files, names),
        *_operation_references(files, operations),
        *_token_limits(files),
    )


def _list_references(
    files: tuple[DefinitionFile, ...], names: NamesByKind
) -> Iterator[Problem]:
    for reference in LIST_REFERENCES:
        for source in sources(files, reference.kind):
            for index, name in enumerate(
                getattr(source.definition, reference.field)
            ):
                yield from _undefined(
                    source.place(reference.field, index),
                    name,
                    reference.target,
                    names[reference.target],
                )


def _single_references(
    files: tuple[DefinitionFile, ...], names: NamesByKind
) -> Iterator[Problem]:
    for endpoint in sources(files, 'endpoints'):
        target = TARGET_OF_ENDPOINT_KIND[endpoint.definition.kind]
        place = endpoint.place('service')
        name = endpoint.definition.service
        yield from _undefined(place, name, target, names[target])
    for orders in sources(files, 'engine_orders'):
        place = orders.place('model')
        yield from _undefined(
            place, orders.definition.model, 'models', names['models']
        )


def _operation_references(
    files: tuple[DefinitionFile, ...], services: Mapping[str, Source]
) -> Iterator[Problem]:
    for program in sources(files, 'programs'):
        yield from _continuation(program, services)
    for service in services.values():
        yield from _status_queries(service)


def _continuation(
    program: Source, services: Mapping[str, Source]
) -> Iterator[Problem]:
    continuation = program.definition.continuation
    if continuation is None:
        return
    place = program.place('continuation', 'service')
    service = services.get(continuation.service)
    yield from _undefined(place, continuation.service, 'services', services)
    if service:
        yield from _undefined(
            program.place('continuation', 'operation'),
            continuation.operation,
            'operations',
            [one.name for one in service.definition.operations],
        )


def _status_queries(service: Source) -> Iterator[Problem]:
    by_name = {one.name: one for one in service.definition.operations}
    for index, operation in enumerate(service.definition.operations):
        query = operation.status_query
        if query is None:
            continue
        place = service.place('operations', index, 'status_query')
        yield from _undefined(place, query, 'operations', by_name)
        if query in by_name and not by_name[query].idempotent:
            yield Problem(
                place,
                f"The status query '{query}' is not idempotent.",
                'Name an operation that only reads.',
            )


def _token_limits(files: tuple[DefinitionFile, ...]) -> Iterator[Problem]:
    contexts = {
        one.definition.name: one.definition.context_tokens
        for one in sources(files, 'models')
    }
    for program in sources(files, 'programs'):
        limit = program.definition.max_output_tokens
        for model in program.definition.models:
            if limit > contexts.get(model, limit):
                yield Problem(
                    program.place('max_output_tokens'),
                    f"max_output_tokens is above the context of '{model}'.",
                    f'Lower it to at most {contexts[model]}.',
                )


def _undefined(
    place: str, name: str, target: str, known: Iterable[str]
) -> Iterator[Problem]:
    names = frozenset(known)
    if name not in names:
        yield Problem(
            place,
            f"'{name}' is not defined under {target}.",
            nearest_name(name, names) if names else UNDEFINED_REMEDY,
        )
