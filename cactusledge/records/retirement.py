"""The operator's request to drain a store."""

from collections.abc import Callable
from typing import Protocol

import structlog

from cactusledge.objects.feeds import Listing
from cactusledge.objects.store import StoredObject

log = structlog.get_logger('records')


class RetirementRequest(Protocol):
    """The operator's request to drain this store."""

    kind: str

    def is_requested(self, stored: StoredObject) -> bool:
        """Returns whether an object requests to drain this store."""

    def report(self, *, is_done: bool) -> None:
        """Reports progress to the operator; blocks, raises StoreError."""


class RetirementFollower:
    """Starts draining the store when the operator requests it."""

    def __init__(
        self, retirement: RetirementRequest, start: Callable[[], None]
    ) -> None:
        """Stores the request to look for and what starts the drain."""
        self._retirement = retirement
        self._start = start

    def handle_list(self, listing: Listing) -> None:
        """Checks each object of a complete list."""
        for stored in listing.listed.items:
            self.handle_object(stored)

    def handle_object(self, stored: StoredObject) -> None:
        """Starts draining if the object requests it."""
        if self._retirement.is_requested(stored):
            self._start()

    def handle_removal(self, name: str) -> None:
        """Logs the removal; a drain that has started continues."""
        log.info('records: drain request removed', instance=name)
