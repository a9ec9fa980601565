"""Tracks which members of a group are unreachable, and since when."""

import time
from collections.abc import Collection, Mapping

from cactusledge.records.entries import Member
from cactusledge.records.peers import GroupPeers


class ConnectionLosses:
    """Times since which connections to members have been lost."""

    def __init__(self) -> None:
        """Starts without lost connections."""
        self._since_s: dict[str, float] = {}

    def update(self, peers: GroupPeers) -> dict[str, float]:
        """Returns the seconds since the loss, by member now disconnected."""
        now_s = time.monotonic()
        lost = peers.names() - peers.direct_names()
        self._since_s = {name: self._since_s.get(name, now_s) for name in lost}
        return {
            name: now_s - since_s for name, since_s in self._since_s.items()
        }


def silent_data_centres(
    members: Mapping[str, Member], reached: Collection[str]
) -> frozenset[str]:
    """Returns the data centres none of whose members is reached.

    If no member is reached at all, this instance is cut off or all stores are
    down. That says nothing about single data centres, so none is returned.
    """
    all_centres = {member.data_centre for member in members.values()}
    reached_centres = {
        member.data_centre
        for name, member in members.items()
        if name in reached
    }
    return (
        frozenset(all_centres - reached_centres)
        if reached_centres
        else frozenset()
    )
