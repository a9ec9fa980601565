"""Follows the published groups of record stores."""

from collections.abc import Callable

import structlog

from cactusledge.objects.feeds import Listing
from cactusledge.objects.store import StoredObject
from cactusledge.records.shards import ShardTable, decode_table

log = structlog.get_logger('records')


class GroupFollower:
    """Passes each published table of groups to a callback."""

    def __init__(self, adopt_table: Callable[[ShardTable], object]) -> None:
        """Stores the callback."""
        self._adopt_table = adopt_table

    def handle_list(self, listing: Listing) -> None:
        """Adopts the groups of a complete list."""
        for stored in listing.listed.items:
            self.handle_object(stored)

    def handle_object(self, stored: StoredObject) -> None:
        """Adopts new or changed groups."""
        self._adopt_table(decode_table(stored.body))

    def handle_removal(self, name: str) -> None:
        """Logs the removal; the adopted group stays in force."""
        log.warning('records: group object removed, keeping the adopted group')
