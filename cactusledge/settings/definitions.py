"""Reads and merges definition files and builds the configuration."""

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from cactusledge.models import CallKind, Endpoint
from cactusledge.settings import configuration as config
from cactusledge.settings.document import (
    Document,
    parse_document,
    read_document,
)
from cactusledge.settings.errors import InvalidDefinitionError, Problem
from cactusledge.settings.references import check_references
from cactusledge.settings.schema import (
    KEY_FIELDS,
    Definitions,
    EndpointDefinition,
    ProgramDefinition,
    ServiceDefinition,
    key_of,
)
from cactusledge.settings.secrets import find_secrets
from cactusledge.settings.sources import DefinitionFile, check_duplicates
from cactusledge.settings.strict import validate

FILE_PATTERN = '*.cactusledge.yaml'


class DefinitionSet(NamedTuple):
    """All definition files, checked and merged."""

    files: tuple[str, ...]
    merged: Definitions

    def encoded(self) -> bytes:
        """Returns the merged definitions as deterministic JSON."""
        return encode(self.merged)


def collect(paths: Iterable[Path]) -> DefinitionSet:
    """Returns the merged definitions of the files below the paths.

    Raises:
        InvalidDefinitionError: no file was found, or a file is not valid.
    """
    found = sorted({path for root in paths for path in _files_below(root)})
    if not found:
        problem = Problem(
            'definition files',
            f'No {FILE_PATTERN} file was found.',
            'Pass the folders that contain them.',
        )
        raise InvalidDefinitionError((problem,))
    return merge(_read_all(found))


def parse_file(path: str, raw: bytes) -> DefinitionFile:
    """Returns the validated definitions of one file's content."""
    return _validated(parse_document(path, raw, InvalidDefinitionError))


def merge(files: Iterable[DefinitionFile]) -> DefinitionSet:
    """Returns the merged definitions.

    Raises:
        InvalidDefinitionError: a name is duplicated or not defined.
    """
    parsed = tuple(files)
    problems = (*check_duplicates(parsed), *check_references(parsed))
    if problems:
        raise InvalidDefinitionError(problems)
    merged = {kind: _sorted_items(kind, parsed) for kind in KEY_FIELDS}
    names = tuple(file.document.path for file in parsed)
    return DefinitionSet(names, Definitions.model_validate(merged))


def encode(definitions: Definitions) -> bytes:
    """Returns definitions as JSON, byte-identical for equal definitions."""
    return msgspec.json.encode(
        definitions.model_dump(mode='json'), order='deterministic'
    )


def decode(encoded: bytes) -> Definitions:
    """Returns decoded definitions; ignores fields added by newer versions."""
    return Definitions.model_validate(
        msgspec.json.decode(encoded), extra='ignore'
    )


def digest_of(definitions: Definitions) -> str:
    """Returns the SHA-256 hash of the encoded definitions."""
    return hashlib.sha256(encode(definitions)).hexdigest()


def build_configuration(
    definitions: Definitions, generation: int, digest: str
) -> config.Configuration:
    """Returns the configuration built from merged definitions."""
    return config.Configuration(
        generation=generation,
        digest=digest,
        programs={one.name: _program(one) for one in definitions.programs},
        services={one.name: _service(one) for one in definitions.services},
        models={
            one.name: config.Model(**one.model_dump())
            for one in definitions.models
        },
        accounts={
            one.name: config.Account(**one.model_dump(exclude={'token_sha256'}))
            for one in definitions.accounts
        },
        account_names={
            hashed: one.name
            for one in definitions.accounts
            for hashed in one.token_sha256
        },
        endpoints=_endpoints(definitions.endpoints),
        engine_orders={
            one.model: config.EngineOrders(
                one.checks_fencing, one.longest_order_s
            )
            for one in definitions.engine_orders
        },
    )


def _files_below(root: Path) -> Iterator[Path]:
    if root.is_dir():
        return root.rglob(FILE_PATTERN)
    return iter((root,))


def _read_all(paths: Iterable[Path]) -> tuple[DefinitionFile, ...]:
    """Returns all files; raises one error with the problems of every file."""
    files: list[DefinitionFile] = []
    problems: list[Problem] = []
    for path in paths:
        try:
            files.append(
                _validated(read_document(path, InvalidDefinitionError))
            )
        except InvalidDefinitionError as exc:
            problems.extend(exc.problems)
    if problems:
        raise InvalidDefinitionError(tuple(problems))
    return tuple(files)


def _validated(document: Document) -> DefinitionFile:
    secrets = find_secrets(document)
    if secrets:
        raise InvalidDefinitionError(secrets)
    definitions = validate(
        Definitions, document.data, document, InvalidDefinitionError
    )
    return DefinitionFile(document, definitions)


def _sorted_items(kind: str, files: tuple[DefinitionFile, ...]) -> list[object]:
    items = [item for file in files for item in getattr(file.definitions, kind)]
    return sorted(items, key=lambda item: key_of(kind, item))


def _program(definition: ProgramDefinition) -> config.Program:
    fields = definition.model_dump()
    fields['weights'] = config.Weights(**fields['weights'])
    if fields['continuation']:
        fields['continuation'] = config.Continuation(**fields['continuation'])
    return config.Program(**fields)


def _service(definition: ServiceDefinition) -> config.Service:
    operations = {
        one.name: config.Operation(
            one.name,
            one.idempotent,
            one.cost,
            one.timeout_s,
            one.status_query or '',
            one.idempotency_key,
        )
        for one in definition.operations
    }
    return config.Service(definition.name, operations)


def _endpoints(
    definitions: Iterable[EndpointDefinition],
) -> dict[str, tuple[Endpoint, ...]]:
    found: dict[str, tuple[Endpoint, ...]] = {}
    for one in definitions:
        endpoint = Endpoint(
            one.name,
            one.service,
            CallKind(one.kind),
            one.address,
            one.data_centre,
        )
        found[one.service] = (*found.get(one.service, ()), endpoint)
    return found
