"""A gateway's connections to the stores of all shards."""

from collections.abc import Mapping
from types import MappingProxyType

from cactusledge.records.entries import Group, Member
from cactusledge.records.holders import rank
from cactusledge.records.links import Link, RelayRoute
from cactusledge.records.peer import Peer
from cactusledge.records.peers import GroupPeers

REGISTRIES = 3  # stores that a gateway registers with


class StorePeers:
    """Connections by shard; one store of each data centre is watched.

    The silence of the watched stores shows that a data centre is cut off, so
    heartbeats to all others can be rarer.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        """Starts without a group."""
        self.by_shard: dict[int, GroupPeers] = {}
        self.members: Mapping[str, Member] = MappingProxyType({})
        self.relay_route = RelayRoute()
        self._instance = instance
        self._data_centre = data_centre
        self._watched: frozenset[str] = frozenset()

    @property
    def is_cut_off(self) -> bool:
        """Whether most data centres have fallen silent.

        Known sooner than the loss of a quorum, but not for sure: a slow
        network or a busy process looks the same for a moment.
        """
        watched = [
            peer for peer in map(self.direct, self._watched) if peer is not None
        ]
        silent = sum(peer.is_silent for peer in watched)
        return silent * 2 > len(watched)

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
        self.members = MappingProxyType({
            name: member
            for one in self.by_shard.values()
            for name, member in one.group.members.items()
        })
        self._choose_watched()
        return True

    def direct(self, name: str) -> Peer | None:
        """Returns the direct connection to a store, open or not."""
        for peers in self.by_shard.values():
            peer = peers.direct(name)
            if peer is not None:
                return peer
        return None

    def direct_names(self) -> frozenset[str]:
        """Returns the names of the stores with an open direct connection."""
        return frozenset().union(
            *(peers.direct_names() for peers in self.by_shard.values())
        )

    def registries(self) -> list[Peer]:
        """Returns the reachable stores that this gateway registers with.

        The nearest of the first shard, or all if none of it is reachable.
        """
        nearest = [self.direct(link.name) for link in self.nearest_first()]
        open_peers = [peer for peer in nearest if peer and peer.is_connected]
        if open_peers:
            return open_peers[:REGISTRIES]
        everywhere = map(self.direct, self.direct_names())
        return [peer for peer in everywhere if peer is not None]

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

    def own_first(self, shard: int) -> list[GroupPeers]:
        """Returns the connections to a shard, then those to the others."""
        return sorted(
            self.by_shard.values(),
            key=lambda peers: peers.group.shard != shard,
        )

    def stop(self) -> None:
        """Closes all connections."""
        for peers in self.by_shard.values():
            peers.stop()

    def _choose_watched(self) -> None:
        """Watches a connected store of each data centre, if there is one.

        Each gateway orders the stores differently, to spread the load.
        """
        watched: dict[str, str] = {}
        for name in sorted(self.members, key=self._watch_order):
            watched.setdefault(self.members[name].data_centre, name)
        self._watched = frozenset(watched.values())
        for name in self.members:
            peer = self.direct(name)
            if peer is not None:
                peer.is_watched = name in self._watched
                peer.on_lost = self._on_lost

    def _watch_order(self, name: str) -> tuple[bool, int]:
        peer = self.direct(name)
        is_lost = peer is None or not peer.is_connected
        return is_lost, rank(self._instance, name)

    def _on_lost(self, lost: Peer) -> None:
        """Watches another store instead, and checks all of its data centre."""
        if lost.name not in self._watched:
            return
        data_centre = self.members[lost.name].data_centre
        self._choose_watched()
        for name, member in self.members.items():
            peer = self.direct(name)
            if peer is not None and member.data_centre == data_centre:
                peer.check()
