"""What a record store does with the published group."""

from collections.abc import Callable

import structlog

from cactusledge.objects.feeds import Listing
from cactusledge.objects.store import StoredObject
from cactusledge.records.entries import Group
from cactusledge.records.membership import decode_group

log = structlog.get_logger('records')


class GroupFollower:
    """Takes the group of record stores."""

    def __init__(self, adopt_group: Callable[[Group], object]) -> None:
        """Keeps whom to give the group."""
        self._take_group = adopt_group

    def take_list(self, listing: Listing) -> None:
        """Takes a complete list."""
        for stored in listing.listed.items:
            self.take_object(stored)

    def take_object(self, stored: StoredObject) -> None:
        """Takes a new or changed object."""
        self._take_group(decode_group(stored.body))

    def take_removal(self, name: str) -> None:
        """Keeps the group in force."""
        log.warning('records: group removed, the last one stays')
