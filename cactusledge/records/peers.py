"""Connections to the members of the group."""

import time

from cactusledge.models import Address
from cactusledge.records.messages import EMPTY_GROUP, Group, Member
from cactusledge.records.quorum import quorum
from cactusledge.records.transport import Peer


class GroupPeers:
    """Keeps a connection to each member but this instance itself."""

    def __init__(self, instance: str, data_centre: str) -> None:
        """Starts without a group."""
        self.group: Group = EMPTY_GROUP
        self._instance = instance
        self.data_centre = data_centre
        self._peers: dict[str, Peer] = {}
        self._unreachable_since_s: dict[str, float] = {}

    @property
    def has_quorum(self) -> bool:
        """Whether connections to a quorum of the members are open."""
        if not self.group.members:
            return False
        return len(self.connected()) >= quorum(self.group)

    def take_group(self, group: Group) -> bool:
        """Adopts a newer group; returns whether it was newer."""
        if group.generation <= self.group.generation:
            return False
        self.group = group
        for peer in tuple(self._peers.values()):
            self._drop_if_moved(peer)
        for name, member in group.members.items():
            if name not in self._peers and name != self._instance:
                self._connect(name, member)
        return True

    def all(self) -> tuple[Peer, ...]:
        """Returns the connections, open or not."""
        return tuple(self._peers.values())

    def connected(self) -> tuple[Peer, ...]:
        """Returns the connections that are open, as far as is known."""
        return tuple(peer for peer in self._peers.values() if peer.is_connected)

    def nearest_first(self) -> list[Peer]:
        """Returns the connections, open ones of this data centre first."""
        return sorted(self._peers.values(), key=self._distance)

    def silent_data_centres(self) -> frozenset[str]:
        """Returns those none of whose members can be reached."""
        connected = {peer.name for peer in self.connected()}
        all_of: dict[str, bool] = {}
        for name, member in self.group.members.items():
            is_silent = name not in connected and name != self._instance
            known = all_of.get(member.data_centre, True)
            all_of[member.data_centre] = known and is_silent
        return frozenset(
            data_centre
            for data_centre, is_silent in all_of.items()
            if is_silent
        )

    def unreachable_s(self) -> dict[str, float]:
        """Returns for how long each lost member has been unreachable."""
        now_s = time.monotonic()
        for peer in self._peers.values():
            if peer.is_connected:
                self._unreachable_since_s.pop(peer.name, None)
            else:
                self._unreachable_since_s.setdefault(peer.name, now_s)
        return {
            name: now_s - since_s
            for name, since_s in self._unreachable_since_s.items()
        }

    def stop(self) -> None:
        """Closes all connections."""
        for peer in self._peers.values():
            peer.stop()

    def _drop_if_moved(self, peer: Peer) -> None:
        """Closes the connection to what is not a member at its address."""
        member = self.group.members.get(peer.name)
        if member is None or member.address != str(peer.address):
            peer.stop()
            self._peers.pop(peer.name)
            self._unreachable_since_s.pop(peer.name, None)

    def _distance(self, peer: Peer) -> tuple[bool, bool, str]:
        member = self.group.members.get(peer.name)
        is_near = member is not None and member.data_centre == self.data_centre
        return not peer.is_connected, not is_near, peer.name

    def _connect(self, name: str, member: Member) -> None:
        host, _, port = member.address.rpartition(':')
        peer = Peer(name, Address(host, int(port)))
        peer.start()
        self._peers[name] = peer
