"""A gateway's connections to the stores of all shards."""

from collections.abc import Mapping

from cactusledge.records.entries import Group, Member
from cactusledge.records.holders import rank
from cactusledge.records.links import Link, RelayRoute
from cactusledge.records.peer import Peer
from cactusledge.records.peers import GroupPeers


class StorePeers:
    """Connections by shard; one store of each data centre is watched.

    The silence of the watched stores shows that a data centre is cut off, so
    heartbeats to all others can be rarer.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        """Starts without a group."""
        self.by_shard: dict[int, GroupPeers] = {}
        self.relay_route = RelayRoute()
        self._instance = instance
        self._data_centre = data_centre

    @property
    def members(self) -> Mapping[str, Member]:
        """The members of all groups."""
        return {
            name: member
            for peers in self.by_shard.values()
            for name, member in peers.group.members.items()
        }

    @property
    def has_direct_quorum(self) -> bool:
        """Whether direct connections to a quorum of each shard are open."""
        return bool(self.by_shard) and all(
            peers.has_direct_quorum for peers in self.by_shard.values()
        )

    def adopt_group(self, group: Group) -> bool:
        """Adopts a shard's group if it is newer; returns whether it was."""
        peers = self.by_shard.get(group.shard)
        if peers is None:
            peers = GroupPeers(
                self._instance, self._data_centre, self.relay_route
            )
        if not peers.adopt_group(group):
            return False
        self.by_shard[group.shard] = peers
        self._choose_watched()
        return True

    def direct(self, name: str) -> Peer | None:
        """Returns the direct connection to a store, open or not."""
        for peers in self.by_shard.values():
            peer = peers.direct(name)
            if peer is not None:
                return peer
        return None

    def names(self) -> frozenset[str]:
        """Returns the names of all stores."""
        return frozenset(self.members)

    def direct_names(self) -> frozenset[str]:
        """Returns the names of the stores with an open direct connection."""
        return frozenset().union(
            *(peers.direct_names() for peers in self.by_shard.values())
        )

    def connected(self) -> tuple[Link, ...]:
        """Returns the links that are open, as far as is known."""
        return tuple(
            link
            for peers in self.by_shard.values()
            for link in peers.connected()
        )

    def nearest_first(self) -> list[Link]:
        """Returns links to the stores of the first shard, nearest first.

        They exchange the loads of all gateways.
        """
        first = self.by_shard.get(0)
        return [] if first is None else first.nearest_first()

    def stop(self) -> None:
        """Closes all connections."""
        for peers in self.by_shard.values():
            peers.stop()

    def _choose_watched(self) -> None:
        """Watches one store of each data centre, not the same everywhere."""
        members = self.members
        watched: dict[str, str] = {}
        by_rank = sorted(members, key=self._rank)
        for name in by_rank:
            watched.setdefault(members[name].data_centre, name)
        for name, member in members.items():
            peer = self.direct(name)
            if peer is not None:
                peer.is_watched = name == watched[member.data_centre]
                peer.on_lost = self._check_neighbours

    def _rank(self, name: str) -> int:
        return rank(self._instance, name)

    def _check_neighbours(self, lost: Peer) -> None:
        """Checks the stores in the data centre of a lost, watched one."""
        members = self.members
        if lost.name not in members or not lost.is_watched:
            return
        data_centre = members[lost.name].data_centre
        for name, member in members.items():
            peer = self.direct(name)
            if peer is not None and member.data_centre == data_centre:
                peer.check()
