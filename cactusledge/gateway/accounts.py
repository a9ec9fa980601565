"""Finds the client account of a request by the digest of its key; pure."""

import enum
from typing import NamedTuple

from cactusledge.gateway.messages import Account, Route


class Finding(enum.StrEnum):
    """Whether a request may be served, as far as its key tells."""

    ADMITTED = 'admitted'
    UNKNOWN_KEY = 'unknown key'
    UNSURE = 'unsure of the key'  # a newer configuration may contain it


class Identity(NamedTuple):
    """A finding, and the account if the request has one."""

    finding: Finding
    account: Account | None = None


ANONYMOUS = Identity(Finding.ADMITTED)


class AccountKeys:
    """The accounts of one version of the configuration, by key.

    A key that two accounts contain belongs to the first one.
    """

    def __init__(self, accounts: tuple[Account, ...] | None) -> None:
        """Indexes the accounts; None if callers need no key."""
        self._needs_key = accounts is not None
        self._by_digest: dict[bytes, Account] = {}
        for account in accounts or ():
            for digest in account.key_digests:
                self._by_digest.setdefault(digest, account)

    def identify(
        self, route: Route, key_digest: bytes, *, is_current: bool
    ) -> Identity:
        """Returns the account of a request on a route.

        Args:
            route: The route of the request.
            key_digest: SHA-256 of its key, `b''` without one.
            is_current: Whether no newer configuration can be in force.
        """
        if route.is_public or not self._needs_key:
            return ANONYMOUS
        account = self._by_digest.get(key_digest)
        if account is not None:
            return Identity(Finding.ADMITTED, account)
        return Identity(Finding.UNKNOWN_KEY if is_current else Finding.UNSURE)

    def may_continue(self, recorded: str, caller: Account | None) -> bool:
        """Returns whether a caller may continue a recorded turn.

        Args:
            recorded: The account recorded with the turn, '' without one.
            caller: The account of the request that continues it.
        """
        if not recorded or not self._needs_key:
            return True
        return caller is not None and caller.name == recorded
