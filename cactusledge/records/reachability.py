"""Which members of a group are out of reach, and since when."""

import time
from collections.abc import Collection

from cactusledge.records.entries import Group
from cactusledge.records.peers import GroupPeers


class ConnectionLosses:
    """For how long connections have been lost."""

    def __init__(self) -> None:
        """Starts without a loss."""
        self._since_s: dict[str, float] = {}

    def update(self, peers: GroupPeers) -> dict[str, float]:
        """Returns the seconds by member, for those that are lost now."""
        now_s = time.monotonic()
        lost = peers.names() - peers.direct_names()
        self._since_s = {name: self._since_s.get(name, now_s) for name in lost}
        return {
            name: now_s - since_s for name, since_s in self._since_s.items()
        }


def silent_data_centres(
    group: Group, reached: Collection[str]
) -> frozenset[str]:
    """Returns the data centres none of whose members is reached.

    Where all are silent, it is this instance that is cut off, or the stores
    that are down: nothing is said of the data centres then.
    """
    members = group.members
    everywhere = {member.data_centre for member in members.values()}
    heard = {
        member.data_centre
        for name, member in members.items()
        if name in reached
    }
    return frozenset(everywhere - heard) if heard else frozenset()
