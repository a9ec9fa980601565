"""Membership service: sends heartbeats and tracks the live members."""

import threading
from collections.abc import Callable, Iterable
from typing import cast

from cactusledge.models import Address
from cactusledge.peers.actor_handle import ActorHandle
from cactusledge.peers.heartbeat_sender import HeartbeatSender
from cactusledge.peers.liveness import HEARTBEAT_INTERVAL_S, LiveMembers
from cactusledge.peers.membership_actor import ActorCallbacks, MembershipActor
from cactusledge.peers.messages import Heartbeat, HeartbeatReply, MemberView

OnChange = Callable[[LiveMembers], None]


class Membership:
    """Sends heartbeats in each interval and tracks the live members.

    Thread-safe. Reading the live members takes no lock and does not wait for
    the actor.
    """

    def __init__(
        self,
        me: MemberView,
        seeds: Iterable[Address] = (),
        interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        """Knows only this instance until `start` is called."""
        self._live = LiveMembers(me.name, (me,))
        self._start = (me, tuple(seeds))
        self._interval_s = interval_s
        self._listeners: list[OnChange] = []
        self._stopping = threading.Event()
        self._sender = HeartbeatSender()
        self._actor = ActorHandle()

    @property
    def live(self) -> LiveMembers:
        """Immutable snapshot of the members not believed dead."""
        return self._live

    def start(self) -> None:
        """Starts the actor and the thread that triggers each interval."""
        me, seeds = self._start
        callbacks = ActorCallbacks(self._sender.send, self._publish)
        self._actor.start(
            MembershipActor.start(me, seeds, callbacks, self._interval_s),
        )
        threading.Thread(
            target=self._tick,
            name='membership',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stops the heartbeats and closes their connections."""
        self._stopping.set()
        self._actor.stop()
        self._sender.close()

    def subscribe(self, listener: OnChange) -> None:
        """Registers a listener, called in the actor's thread on a change."""
        self._listeners.append(listener)

    def available(
        self, data_centre: str | None = None
    ) -> tuple[MemberView, ...]:
        """Returns the live members that accept new work."""
        return self._live.available(data_centre)

    def owner_of(
        self,
        key: str,
        data_centre: str | None = None,
    ) -> MemberView | None:
        """Returns the key's owner by rendezvous hashing."""
        return self._live.owner_of(key, data_centre)

    def handle_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Merges a peer's heartbeat and returns the reply."""
        return cast(HeartbeatReply, self._actor.ask('receive', message))

    def report_unreachable(self, name: str) -> None:
        """Excludes a member until its counter grows again."""
        self._actor.tell('mark_unreachable', name)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Adds addresses at which to look for instances."""
        self._actor.tell('add_seeds', tuple(seeds))

    def set_state(self, key: str, data: bytes) -> None:
        """Sets an entry of the state published to the peers."""
        self._actor.tell('set_state', key, data)

    def leave(self) -> None:
        """Marks this incarnation as leaving; that cannot be undone."""
        self._actor.ask('leave')

    def _publish(self, live: LiveMembers) -> None:
        """Stores the actor's new snapshot and calls the listeners."""
        self._live = live
        for listener in self._listeners:
            listener(live)

    def _tick(self) -> None:
        while not self._stopping.is_set():
            self._actor.tell('tick')
            self._stopping.wait(self._interval_s)
