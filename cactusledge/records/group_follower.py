"""Follows the published group of record stores."""

from collections.abc import Callable

import structlog

from cactusledge.objects.feeds import Listing
from cactusledge.objects.store import StoredObject
from cactusledge.records.entries import Group
from cactusledge.records.membership import decode_group

log = structlog.get_logger('records')


class GroupFollower:
    """Passes each published group to a callback."""

    def __init__(self, adopt_group: Callable[[Group], object]) -> None:
        """Stores the callback."""
        self._take_group = adopt_group

    def handle_list(self, listing: Listing) -> None:
        """Adopts the group of a complete list."""
        for stored in listing.listed.items:
            self.handle_object(stored)

    def handle_object(self, stored: StoredObject) -> None:
        """Adopts a new or changed group."""
        self._take_group(decode_group(stored.body))

    def handle_removal(self, name: str) -> None:
        """Logs the removal; the adopted group stays in force."""
        log.warning('records: group object removed, keeping the adopted group')
