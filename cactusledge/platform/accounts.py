"""Decodes the client accounts of a configuration object.

Keys are hashed at once: nothing but their digests is kept, and none is logged.
"""

import hashlib
from collections.abc import Mapping
from typing import Any, TypeGuard

import structlog

from cactusledge.gateway.messages import Account, Quota

ACCOUNTS = 'tenants'  # field of the configuration
ENCODING_ERRORS = 'surrogatepass'  # any text of a JSON document has a digest
MAX_AMOUNT = 1e9  # requests; more is no limit
MAX_PRIORITY = 1000000

log = structlog.get_logger('platform')


class _InvalidFieldError(Exception):
    """A field of an account is missing or unusable; names only the field."""


def decode_accounts(spec: Mapping[str, Any]) -> tuple[Account, ...] | None:
    """Returns the accounts of a configuration, None if it contains none.

    An invalid account is left out.

    Raises:
        TypeError: The accounts are not a list.
    """
    listed = spec.get(ACCOUNTS)
    if listed is None:
        return None
    if not isinstance(listed, list):
        raise TypeError(f'{ACCOUNTS} must be a list')
    decoded = (_decode(entry) for entry in listed)
    return tuple(account for account in decoded if account is not None)


def digest_of(key: bytes) -> bytes:
    """Returns the digest by which a key is looked up, `b''` without a key."""
    return hashlib.sha256(key).digest() if key else b''


def _decode(entry: object) -> Account | None:
    name = entry.get('name') if isinstance(entry, dict) else None
    try:
        return _to_account(name, entry)
    except _InvalidFieldError as exc:
        log.warning(
            'platform: invalid account left out',
            field=str(exc),
            account=name if isinstance(name, str) else '',
        )
        return None


def _to_account(name: object, entry: object) -> Account:
    if not isinstance(name, str) or not is_header_text(name):
        raise _InvalidFieldError('name')
    if not isinstance(entry, dict):
        raise _InvalidFieldError(ACCOUNTS)
    return Account(
        name,
        _key_digests(entry.get('api_keys')),
        _priority(entry.get('priority')),
        _quota(entry),
    )


def _key_digests(keys: object) -> frozenset[bytes]:
    if not isinstance(keys, list):
        raise _InvalidFieldError('api_keys')
    if not all(isinstance(key, str) and key for key in keys):
        raise _InvalidFieldError('api_keys')
    return frozenset(
        digest_of(key.encode('utf-8', ENCODING_ERRORS)) for key in keys
    )


def _priority(found: object) -> int | None:
    if found is None:
        return None
    if is_number(found) and 0 <= found <= MAX_PRIORITY:
        return int(found)
    raise _InvalidFieldError('priority')


def _quota(entry: Mapping[str, object]) -> Quota | None:
    rate_per_s = _amount(entry, 'rate_per_s')
    burst = _amount(entry, 'burst')
    return Quota(rate_per_s, burst) if rate_per_s else None


def _amount(entry: Mapping[str, object], field: str) -> float:
    """Returns a number that is not negative, 0 if it is missing."""
    found = entry.get(field)
    if found is None:
        return 0
    if is_number(found) and 0 <= found <= MAX_AMOUNT:
        return float(found)
    raise _InvalidFieldError(field)


def is_header_text(name: str) -> bool:
    """Returns whether a name is not empty and can be sent in a header."""
    return bool(name) and name.isascii() and name.isprintable()


def is_number(found: object) -> TypeGuard[int | float]:
    """Returns whether a decoded value is a number; a truth value is none."""
    return isinstance(found, int | float) and not isinstance(found, bool)
