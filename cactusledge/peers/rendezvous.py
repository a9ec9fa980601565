"""Rendezvous hashing: maps a key to its owner among the members."""

from collections.abc import Iterable

import xxhash


def weight(key: str, name: str) -> int:
    """Returns the weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def rank_members(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the names by falling weight; the key's owner comes first."""
    by_weight = sorted((weight(key, name), name) for name in names)
    return tuple(name for _, name in reversed(by_weight))


def owner(key: str, names: Iterable[str]) -> str | None:
    """Returns the key's owner, or None without members."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)
