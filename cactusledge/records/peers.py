"""Connections to the members of the group."""

from collections.abc import Collection

from cactusledge.models import Address
from cactusledge.records.entries import EMPTY_GROUP, Group, Member
from cactusledge.records.holders import rank
from cactusledge.records.links import Link, RelayRoute
from cactusledge.records.peer import Peer
from cactusledge.records.quorum import is_quorum
from cactusledge.records.room import StoreRooms


class GroupPeers:
    """Connections to all members of the group except this instance."""

    def __init__(
        self,
        instance: str,
        data_centre: str,
        relay_route: RelayRoute | None = None,
    ) -> None:
        """Starts without a group; connections of several may share a relay."""
        self.group: Group = EMPTY_GROUP
        self._instance = instance
        self.data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        self.relay_route = relay_route or RelayRoute()
        self.rooms = StoreRooms()

    @property
    def has_quorum(self) -> bool:
        """Whether links to a quorum are open, directly or by relay."""
        return is_quorum(len(self.connected()), self.group)

    @property
    def has_direct_quorum(self) -> bool:
        """Whether direct connections to a quorum are open."""
        return is_quorum(len(self.direct_names()), self.group)

    def adopt_group(self, group: Group) -> bool:
        """Adopts a newer group or that of another shard.

        Returns whether it was one.
        """
        is_older = group.generation <= self.group.generation
        if is_older and group.shard == self.group.shard:
            return False
        self.group = group
        for peer in tuple(self._peers.values()):
            self._drop_if_moved(peer)
        for name, member in group.members.items():
            if name not in self._peers and name != self._instance:
                self._connect(name, member)
        return True

    def direct(self, name: str) -> Peer | None:
        """Returns the direct connection to a member, open or not."""
        return self._peers.get(name)

    def names(self) -> frozenset[str]:
        """Returns the names of the members except this instance."""
        return frozenset(self._peers)

    def direct_names(self) -> frozenset[str]:
        """Returns the names of the members with an open direct connection."""
        return frozenset(
            peer.name for peer in self._peers.values() if peer.is_connected
        )

    def all(self) -> tuple[Link, ...]:
        """Returns a link to each member, open or not."""
        return tuple(
            self.relay_route.link(peer) for peer in self._peers.values()
        )

    def connected(self) -> tuple[Link, ...]:
        """Returns the links that are open, as far as is known."""
        return tuple(link for link in self.all() if link.is_connected)

    def nearest_first(self) -> list[Link]:
        """Returns the links: open ones first, then those of this data centre.

        Equally near members are ordered differently by each instance, to
        spread the load.
        """
        return sorted(
            self.all(),
            key=lambda link: (
                not link.is_connected,
                not self._is_local(link.name),
                rank(self._instance, link.name),
            ),
        )

    def stop(self) -> None:
        """Closes all connections."""
        for peer in self._peers.values():
            peer.stop()

    def _drop_if_moved(self, peer: Peer) -> None:
        """Closes the connection if the member has left or changed address."""
        member = self.group.members.get(peer.name)
        if member is None or member.address != str(peer.address):
            peer.stop()
            self._peers.pop(peer.name)

    def _is_local(self, name: str) -> bool:
        member = self.group.members.get(name)
        return member is not None and member.data_centre == self.data_centre

    def _connect(self, name: str, member: Member) -> None:
        peer = Peer(name, address_of(member))
        peer.start()
        self._peers[name] = peer


def check_silent(peers: GroupPeers, replied: Collection[str]) -> None:
    """Checks the connections to the members that did not reply."""
    for name in peers.names().difference(replied):
        peer = peers.direct(name)
        if peer is not None:
            peer.check()


def address_of(member: Member) -> Address:
    """Returns the address at which an instance accepts messages."""
    host, _, port = member.address.rpartition(':')
    return Address(host, int(port))
