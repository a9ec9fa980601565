"""A record store's watches of the platform."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from cactusledge.objects.feeds import Feed, Follower
from cactusledge.objects.store import ObjectStore, StoredObject
from cactusledge.objects.watch_session import WatchTarget
from cactusledge.objects.watcher import Watcher
from cactusledge.records.gateways import GatewayRegistry
from cactusledge.records.platform_changes import ChangeSink, IsEnding
from cactusledge.records.withdrawal_messages import Withdrawal

WATCH_TIMEOUT_S = 30.0  # the longest that the platform allows
# An unanswered watch is noticed after one and a half times this, in time for
# gateways whose watches are not answered either.
CHANGE_WATCH_TIMEOUT_S = 1.25
CHANGE_PAUSE_S = 0.25  # after changes, so that further ones arrive together


def never(stored: StoredObject) -> bool:
    """Returns that an object which exists is not over."""
    return False


class GatewayKinds(NamedTuple):
    """The kinds of objects that gateways watch."""

    configuration: str
    endpoint: str
    is_ending: IsEnding  # whether an endpoint's entry takes no new requests


class KindNews:
    """Tells a store's gateways what it sees of a kind of objects."""

    def __init__(
        self, kind: str, gateways: GatewayRegistry, regain: Callable[[], None]
    ) -> None:
        """Stores the gateways, and what is called after a failure."""
        self.regain = regain
        self._kind = kind
        self._gateways = gateways

    def note_change(self, version: int) -> None:
        """Takes note of the version of a change."""
        self._gateways.changes.note(self._kind, version)

    def note_end(self, name: str, version: int) -> None:
        """Takes no note: a configuration does not end."""

    def note_up(self, since_s: float | None) -> None:
        """Takes no note: the endpoints' watch tells."""


class EndpointNews(KindNews):
    """The same for endpoints, whose entries end."""

    def note_end(self, name: str, version: int) -> None:
        """Takes note that an endpoint's entry is over."""
        self._gateways.add_withdrawal(Withdrawal(name, version))

    def note_up(self, since_s: float | None) -> None:
        """Takes note since when the platform answers."""
        self._gateways.uptime.note(since_s)


class StoreWatches:
    """Follows what a store acts on; notes changes of what gateways watch.

    The watches for changes are short. When one was not answered, the long ones
    are replaced too: the platform may not answer them either.
    """

    def __init__(
        self, objects: ObjectStore, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Stores the platform's objects and the event loop of the store."""
        self._objects = objects
        self._loop = loop
        self._following: list[Watcher] = []

    def follow(self, kind: str, follower: Follower) -> None:
        """Starts to pass the objects of a kind to a follower."""
        target = WatchTarget(kind, timeout_s=WATCH_TIMEOUT_S)
        watcher = Watcher(self._objects, target, Feed(self._loop, follower))
        self._following.append(watcher)
        watcher.start()

    def tell(self, kinds: GatewayKinds, gateways: GatewayRegistry) -> None:
        """Starts to tell gateways of the changes of what they watch."""
        self._note(
            KindNews(kinds.configuration, gateways, self._replace),
            kinds.configuration,
            never,
        )
        self._note(
            EndpointNews(kinds.endpoint, gateways, self._replace),
            kinds.endpoint,
            kinds.is_ending,
        )

    def _note(self, news: KindNews, kind: str, is_ending: IsEnding) -> None:
        target = WatchTarget(
            kind, timeout_s=CHANGE_WATCH_TIMEOUT_S, pause_s=CHANGE_PAUSE_S
        )
        sink = ChangeSink(self._loop, news, is_ending)
        Watcher(self._objects, target, sink).start()

    def _replace(self) -> None:
        for watcher in self._following:
            watcher.replace()
