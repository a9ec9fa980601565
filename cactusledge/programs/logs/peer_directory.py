"""Live peer instances and the owners of logs and engine groups."""

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from cactusledge.models import Address
from cactusledge.peers.client import PeerClient
from cactusledge.peers.messages import MemberView
from cactusledge.programs.ids import data_centre_of
from cactusledge.programs.logs.claims import ChooseInstance, InstanceView
from cactusledge.routing.types import GroupKey

LOGS_KEY = 'logs'
GENERATION_KEY = 'generation'
ACCEPTS_KEY = 'accepts'
ACCEPTING = b'1'
NOT_ACCEPTING = b'0'
SEPARATOR = ','


class InstanceIdentity(NamedTuple):
    """Name and data centre of this instance."""

    name: str
    data_centre: str


class PeerDirectory:
    """Selects owners among the instances believed alive."""

    def __init__(
        self,
        identity: InstanceIdentity,
        alive: Callable[[], Iterable[MemberView]],
        choose: ChooseInstance,
        timeout_s: float,
    ) -> None:
        """Creates a directory without open connections.

        Args:
            identity: This instance.
            alive: Returns the members believed alive; this instance may be
                among them.
            choose: Chooses an instance for a key by rendezvous hashing.
            timeout_s: Time limit for one message to a peer.
        """
        self._identity = identity
        self._alive = alive
        self._choose = choose
        self._timeout_s = timeout_s
        self.leaving = False
        self.accepts = False  # True once endpoints and configuration are known
        self._clients: dict[Address, PeerClient] = {}
        self._lock = threading.Lock()

    @property
    def takes_work(self) -> bool:
        """Whether this instance may become owner of further logs and groups."""
        return self.accepts and not self.leaving

    def other_instances(self) -> tuple[InstanceView, ...]:
        """Returns the other live instances of all data centres."""
        return tuple(_instance_view(one) for one in self._members())

    def data_centre_peers(self) -> Sequence[PeerClient]:
        """Returns clients for the live peers of this data centre.

        Peers that are leaving are left out.
        """
        return [
            self._client(one)
            for one in self._members()
            if one.data_centre == self._identity.data_centre and not one.leaving
        ]

    def owner_of_log(self, log: str) -> PeerClient | None:
        """Returns the peer that owns a log, or that should take it over.

        None means this instance, or that no eligible instance is alive.
        """
        members = self._members()
        owners = [one for one in members if log in _logs_of(one)]
        if owners:
            return self._client(owners[0])
        return self._choose_owner(log, data_centre_of(log), members)

    def owner_of_group(self, key: GroupKey) -> PeerClient | None:
        """Returns the peer that schedules an engine group.

        None means this instance, or that no eligible instance is alive.
        """
        return self._choose_owner(str(key), key.data_centre, self._members())

    def close(self) -> None:
        """Closes the connections to peers."""
        with self._lock:
            clients = tuple(self._clients.values())
            self._clients.clear()
        for client in clients:
            client.close()

    def _choose_owner(
        self,
        key: str,
        data_centre: str,
        members: Sequence[MemberView],
    ) -> PeerClient | None:
        candidates = {
            one.name: one
            for one in members
            if one.data_centre == data_centre and _takes_work(one)
        }
        names = list(candidates)
        is_here = data_centre == self._identity.data_centre
        if is_here and self.takes_work:
            names.append(self._identity.name)
        chosen = candidates.get(self._choose(key, names) or '')
        return self._client(chosen) if chosen else None

    def _members(self) -> list[MemberView]:
        found = [
            one for one in self._alive() if one.name != self._identity.name
        ]
        return sorted(found, key=lambda one: one.name)

    def _client(self, member: MemberView) -> PeerClient:
        address = Address(member.host, member.port)
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = PeerClient(address, self._timeout_s)
                self._clients[address] = client
        return client


def member_state(
    logs: Iterable[str], generation: int, *, accepts: bool
) -> dict[str, bytes]:
    """Returns the state that an instance publishes in its heartbeats."""
    return {
        LOGS_KEY: SEPARATOR.join(logs).encode(),
        GENERATION_KEY: str(generation).encode(),
        ACCEPTS_KEY: ACCEPTING if accepts else NOT_ACCEPTING,
    }


def generation_of(member: MemberView) -> int:
    """Returns the configuration generation in force at a member."""
    return int((member.state or {}).get(GENERATION_KEY, b'0'))


def _takes_work(member: MemberView) -> bool:
    """Returns whether a member may become owner of further logs and groups.

    A member that has just started and does not know the endpoints or the
    configuration would refuse every request. Older versions do not publish
    this state and are assumed to know both.
    """
    accepts = (member.state or {}).get(ACCEPTS_KEY, ACCEPTING)
    return accepts == ACCEPTING and not member.leaving


def _logs_of(member: MemberView) -> tuple[str, ...]:
    text = (member.state or {}).get(LOGS_KEY, b'').decode()
    return tuple(text.split(SEPARATOR)) if text else ()


def _instance_view(member: MemberView) -> InstanceView:
    return InstanceView(
        member.name,
        member.data_centre,
        _takes_work(member),
        _logs_of(member),
    )
