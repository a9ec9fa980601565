"""Handle to an actor that may not be running."""

from contextlib import suppress
from typing import Any

import pykka

from cactusledge.peers.errors import NotRunningError

ASK_TIMEOUT_S = 1.0


class ActorHandle:
    """Calls methods of a Pykka actor, if it is running."""

    def __init__(self) -> None:
        self._proxy: Any = None

    def start(self, actor: pykka.ActorRef[Any]) -> None:
        """Attaches a started actor."""
        self._proxy = actor.proxy()

    def stop(self) -> None:
        """Stops the actor if one was attached."""
        if self._proxy is not None:
            self._proxy.actor_ref.stop()

    def tell(self, method: str, *args: Any) -> None:
        """Calls a method without waiting for it; no-op after `stop`.

        Raises:
            NotRunningError: `start` has not been called.
        """
        if self._proxy is None:
            raise not_running_error()
        with suppress(pykka.ActorDeadError):
            getattr(self._proxy, method).defer(*args)

    def ask(self, method: str, *args: Any) -> Any:
        """Calls a method and returns its result."""
        if self._proxy is None:
            raise not_running_error()
        try:
            return getattr(self._proxy, method)(*args).get(
                timeout=ASK_TIMEOUT_S,
            )
        except pykka.ActorDeadError as exc:
            raise not_running_error() from exc


def not_running_error() -> NotRunningError:
    """Returns the error for a call while the actor is not running."""
    return NotRunningError(
        'Cluster membership is not running on this instance.',
        remedy='Send the message to another instance.',
    )
