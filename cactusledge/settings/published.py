"""Reads the published configuration from the platform."""

from collections.abc import Mapping, MutableMapping
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from cactusledge.errors import StoreNotFoundError
from cactusledge.protocol.config_head import Head
from cactusledge.settings.configuration import Configuration
from cactusledge.settings.definitions import build_configuration
from cactusledge.settings.parts import (
    CorruptPartError,
    Part,
    join_parts,
    verify_part,
)
from cactusledge.settings.schema import Definitions

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

HEAD_KIND = 'configheads'
HEAD_NAME = 'head'
PART_KIND = 'configparts'

PartCache = MutableMapping[str, Part]


class StoredHead(NamedTuple):
    """A head and the resource version at which it was read."""

    head: Head | None
    version: str


class PublishedDefinitions(NamedTuple):
    """The published definitions; empty before the first publication."""

    stored: StoredHead
    definitions: Definitions

    @property
    def generation(self) -> int:
        """The generation; 0 before the first publication."""
        return self.stored.head.generation if self.stored.head else 0

    def configuration(self) -> Configuration:
        """Returns the configuration that instances run."""
        digest = self.stored.head.digest if self.stored.head else ''
        return build_configuration(self.definitions, self.generation, digest)


def read_head(store: 'ObjectStore') -> StoredHead:
    """Reads the head; `head` is None before the first publication."""
    try:
        found = store.read(HEAD_KIND, HEAD_NAME)
    except StoreNotFoundError:
        return StoredHead(None, '')
    return StoredHead(parse_head(found.body), found.version)


def parse_head(body: Mapping[str, Any]) -> Head:
    """Parses the head from the body of its object."""
    fields = {name: body.get(name) for name in Head._fields}
    fields['recent'] = fields['recent'] or ()
    try:
        return msgspec.convert(tuple(fields.values()), Head)
    except msgspec.ValidationError as exc:
        raise CorruptPartError(
            f"The configuration's head is damaged: {exc}.",
            remedy='Restore the object, or upgrade this instance.',
        ) from exc


def head_body(head: Head) -> dict[str, Any]:
    """Returns the object body that stores a head."""
    return {
        **head._asdict(),
        'parts': list(head.parts),
        'recent': [list(entry) for entry in head.recent],
    }


def read_definitions(
    store: 'ObjectStore',
    head: Head | None,
    cache: PartCache,
) -> Definitions:
    """Returns a head's definitions; reads only parts missing in the cache."""
    names = head.parts if head else ()
    for name in names:
        if name not in cache:
            found = store.read(PART_KIND, name)
            cache[name] = verify_part(name, found.body)
    return join_parts(map(cache.__getitem__, names))


def read_published(store: 'ObjectStore') -> PublishedDefinitions:
    """Reads the published definitions with their head."""
    stored = read_head(store)
    return PublishedDefinitions(
        stored, read_definitions(store, stored.head, {})
    )


def load_published(store: 'ObjectStore') -> Configuration:
    """Reads the published configuration."""
    return read_published(store).configuration()
