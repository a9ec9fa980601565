"""Calls to an actor that may not have started or may have stopped."""

from contextlib import suppress
from typing import Any

import pykka

from cactusledge.peers.errors import NotRunningError

ASK_TIMEOUT_S = 1.0


class ActorHandle:
    """Holds an actor's proxy from its start on."""

    def __init__(self) -> None:
        """Has no actor yet."""
        self._proxy: Any = None

    def start(self, actor: pykka.ActorRef[Any]) -> None:
        """Takes the actor over."""
        self._proxy = actor.proxy()

    def stop(self) -> None:
        """Stops the actor."""
        if self._proxy is not None:
            self._proxy.actor_ref.stop()

    def tell(self, method: str, *args: Any) -> None:
        """Has the actor run a method; does nothing after the stop."""
        if self._proxy is None:
            raise not_running_error()
        with suppress(pykka.ActorDeadError):
            getattr(self._proxy, method).defer(*args)

    def ask(self, method: str, *args: Any) -> Any:
        """Returns the result of the actor's method."""
        if self._proxy is None:
            raise not_running_error()
        try:
            return getattr(self._proxy, method)(*args).get(
                timeout=ASK_TIMEOUT_S,
            )
        except pykka.ActorDeadError as exc:
            raise not_running_error() from exc


def not_running_error() -> NotRunningError:
    """Returns the error for a use before the start or after the stop."""
    return NotRunningError(
        'The membership of this instance does not run.',
        remedy='Send the message to another instance.',
    )
