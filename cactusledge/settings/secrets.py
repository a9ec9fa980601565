"""Detects plain-text tokens that were put in definition files by mistake."""

import re
from collections.abc import Iterator
from typing import Any

from cactusledge.settings.document import Document, Location
from cactusledge.settings.errors import Problem

HASH_FIELD = 'token_sha256'
SECRET_FIELDS = frozenset((
    'token',
    'tokens',
    'password',
    'passwords',
    'secret',
    'secrets',
    'api_key',
    'api_keys',
    'private_key',
    'credential',
    'credentials',
))
PLAIN_TOKEN_REMEDY = (
    'Replace the token, because the file exposed it, and write the hash that '
    f'`cactusledge hash-token` prints under {HASH_FIELD}.'
)

_HASH = re.compile(r'[0-9a-f]{64}')
_KNOWN_TOKEN = re.compile(
    r'(?:sk-|ghp_|gho_|glpat-|xox[abp]-|Bearer |eyJ|-----BEGIN )\S+.*',
    re.DOTALL,
)
_RANDOM_TEXT = re.compile(
    r'(?=.*\d)(?=.*[a-z])(?=.*[A-Z])[A-Za-z0-9+/_=-]{24,}'
)


def find_secrets(document: Document) -> tuple[Problem, ...]:
    """Returns a problem for each field that looks like a plain-text token."""
    return tuple(
        Problem(
            document.place(loc),
            f"The field '{'.'.join(map(str, loc))}' holds what looks like a "
            'plain token.',
            PLAIN_TOKEN_REMEDY,
        )
        for loc, scalar in _scalars(document.data, ())
        if _looks_secret(loc, scalar)
    )


def _looks_secret(loc: Location, scalar: object) -> bool:
    names = [step for step in loc if isinstance(step, str)]
    if HASH_FIELD in names:
        return not (isinstance(scalar, str) and _HASH.fullmatch(scalar))
    if SECRET_FIELDS.intersection(names):
        return True
    if not isinstance(scalar, str):
        return False
    return bool(
        _KNOWN_TOKEN.fullmatch(scalar) or _RANDOM_TEXT.fullmatch(scalar)
    )


def _scalars(node: Any, loc: Location) -> Iterator[tuple[Location, object]]:
    if isinstance(node, dict):
        for key, child in node.items():
            yield from _scalars(child, (*loc, key))
    elif isinstance(node, list):
        for index, child in enumerate(node):
            yield from _scalars(child, (*loc, index))
    else:
        yield loc, node
