"""Runs the orderer's states against an engine."""

import threading
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Protocol, TypeAlias

from cactusledge.endpoints import orders
from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.errors import EndpointError
from cactusledge.endpoints.ordering import Order
from cactusledge.endpoints.reports import EngineState
from cactusledge.errors import StoreError
from cactusledge.models import Endpoint

QUESTION_LIMIT_S = 5


class OrderPort(Protocol):
    """What the orderer needs from its surroundings; the calls may block."""

    def now_s(self) -> float:
        """Returns the time of a clock that never goes back."""

    def wait(self, duration_s: float) -> None:
        """Returns after a duration."""

    def read_state(self) -> EngineState:
        """Returns the engine's state."""

    def is_owner(self) -> bool:
        """Returns whether the platform names this instance the orderer."""

    def send(self, order: Order, limit_s: float) -> None:
        """Sends an order, to be answered within a limit."""


class EnginePort:
    """The port to an engine over HTTP."""

    def __init__(
        self,
        client: EngineClient,
        endpoint: Endpoint,
        is_owner: Callable[[], bool],
        stopped: threading.Event,
    ) -> None:
        """Keeps what to ask; a set `stopped` ends the ownership."""
        self._client = client
        self._endpoint = endpoint
        self._is_owner = is_owner
        self._stopped = stopped

    def now_s(self) -> float:
        """Returns the time of the monotonic clock."""
        return time.monotonic()

    def wait(self, duration_s: float) -> None:
        """Returns after a duration, or at the stop."""
        self._stopped.wait(duration_s)

    def read_state(self) -> EngineState:
        """Asks the engine for its state."""
        deadline_s = self.now_s() + QUESTION_LIMIT_S
        return self._client.read_state(self._endpoint, deadline_s=deadline_s)

    def is_owner(self) -> bool:
        """Asks the platform, unless the wait was cut short by the stop."""
        return not self._stopped.is_set() and self._is_owner()

    def send(self, order: Order, limit_s: float) -> None:
        """Sends the order; the orderer reads the state back itself."""
        deadline_s = self.now_s() + limit_s
        self._client.order(self._endpoint, order, deadline_s=deadline_s)


def run_order(
    port: OrderPort,
    wanted: Order,
    limits: orders.OrderLimits,
) -> orders.OrderProgress:
    """Brings an engine into the wanted state, or tells why not.

    Returns:
        The last state: its phase is `DONE`, `GIVEN_UP` or `SUPERSEDED`.
    """
    progress = orders.begin(wanted, limits)
    while progress.phase not in orders.FINAL_PHASES:
        progress = orders.step(progress, _act(port, progress))
    return progress


def _act(port: OrderPort, progress: orders.OrderProgress) -> orders.Event:
    try:
        return _ACTIONS[progress.phase](port, progress)
    except (EndpointError, StoreError):
        return orders.Failed()


def _wait(port: OrderPort, progress: orders.OrderProgress) -> orders.Event:
    port.wait(progress.limits.wait_out_s)
    return orders.Waited()


def _read(port: OrderPort, _progress: orders.OrderProgress) -> orders.Event:
    return orders.StateRead(port.read_state())


def _check(
    port: OrderPort,
    _progress: orders.OrderProgress,
) -> orders.Event:
    asked_s = port.now_s()
    return orders.OwnerChecked(port.is_owner(), asked_s)


def _send(
    port: OrderPort,
    progress: orders.OrderProgress,
) -> orders.Event:
    since_check_s = port.now_s() - progress.checked_s
    if since_check_s > progress.limits.send_window_s:
        return orders.Failed()
    port.send(progress.wanted, progress.limits.longest_order_s)
    return orders.Answered()


Action: TypeAlias = Callable[
    [OrderPort, orders.OrderProgress],
    orders.Event,
]

_ACTIONS: Mapping[orders.Phase, Action] = MappingProxyType({
    orders.Phase.WAIT_OUT: _wait,
    orders.Phase.READ_BEFORE: _read,
    orders.Phase.CHECK_OWNER: _check,
    orders.Phase.SEND: _send,
    orders.Phase.READ_AFTER: _read,
})
