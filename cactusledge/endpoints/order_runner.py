"""Runs the state machine of `order_states` against an engine."""

import threading
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Protocol, TypeAlias

from cactusledge.endpoints import order_states
from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.errors import EndpointError
from cactusledge.endpoints.order_client import Order
from cactusledge.endpoints.reports import EngineState
from cactusledge.errors import StoreError
from cactusledge.models import Endpoint

QUERY_TIMEOUT_S = 5


class OrderPort(Protocol):
    """Clock, engine and platform as used by `run_order`; calls may block."""

    def now_s(self) -> float:
        """Returns the time of a monotonic clock."""

    def wait(self, duration_s: float) -> None:
        """Blocks for a duration."""

    def read_state(self) -> EngineState:
        """Returns the engine's state."""

    def is_owner(self) -> bool:
        """Returns whether this instance owns the engine's orders."""

    def send(self, order: Order, limit_s: float) -> None:
        """Sends an order that must be answered within `limit_s`."""


class EnginePort:
    """An `OrderPort` that reaches the engine over HTTP."""

    def __init__(
        self,
        client: EngineClient,
        endpoint: Endpoint,
        is_owner: Callable[[], bool],
        stopped: threading.Event,
    ) -> None:
        """Once `stopped` is set, waits end and ownership counts as lost."""
        self._client = client
        self._endpoint = endpoint
        self._is_owner = is_owner
        self._stopped = stopped

    def now_s(self) -> float:
        """Returns the time of the monotonic clock."""
        return time.monotonic()

    def wait(self, duration_s: float) -> None:
        """Blocks for a duration or until `stopped` is set."""
        self._stopped.wait(duration_s)

    def read_state(self) -> EngineState:
        """Queries the engine's state."""
        deadline_s = self.now_s() + QUERY_TIMEOUT_S
        return self._client.read_state(self._endpoint, deadline_s=deadline_s)

    def is_owner(self) -> bool:
        """Queries the platform; False once `stopped` is set."""
        return not self._stopped.is_set() and self._is_owner()

    def send(self, order: Order, limit_s: float) -> None:
        """Sends the order; `run_order` reads the state afterwards."""
        deadline_s = self.now_s() + limit_s
        self._client.order(self._endpoint, order, deadline_s=deadline_s)


def run_order(
    port: OrderPort,
    target: Order,
    limits: order_states.OrderLimits,
) -> order_states.OrderProgress:
    """Brings an engine into the target state, or reports why it cannot.

    Returns:
        The final progress; its phase is `DONE`, `GIVEN_UP` or `SUPERSEDED`.
    """
    progress = order_states.initial_progress(target, limits)
    while progress.phase not in order_states.FINAL_PHASES:
        progress = order_states.advance(progress, _act(port, progress))
    return progress


def _act(
    port: OrderPort, progress: order_states.OrderProgress
) -> order_states.Event:
    try:
        return _ACTIONS[progress.phase](port, progress)
    except (EndpointError, StoreError):
        return order_states.Failed()


def _wait(
    port: OrderPort, progress: order_states.OrderProgress
) -> order_states.Event:
    port.wait(progress.limits.wait_out_s)
    return order_states.Waited()


def _read(
    port: OrderPort, _progress: order_states.OrderProgress
) -> order_states.Event:
    return order_states.StateRead(port.read_state())


def _check(
    port: OrderPort,
    _progress: order_states.OrderProgress,
) -> order_states.Event:
    query_started_s = port.now_s()
    return order_states.OwnerChecked(port.is_owner(), query_started_s)


def _send(
    port: OrderPort,
    progress: order_states.OrderProgress,
) -> order_states.Event:
    since_check_s = port.now_s() - progress.owner_checked_s
    if since_check_s > progress.limits.send_window_s:
        return order_states.Failed()
    port.send(progress.target, progress.limits.longest_order_s)
    return order_states.Answered()


Action: TypeAlias = Callable[
    [OrderPort, order_states.OrderProgress],
    order_states.Event,
]

_ACTIONS: Mapping[order_states.Phase, Action] = MappingProxyType({
    order_states.Phase.WAIT_OUT: _wait,
    order_states.Phase.READ_BEFORE: _read,
    order_states.Phase.CHECK_OWNER: _check,
    order_states.Phase.SEND: _send,
    order_states.Phase.READ_AFTER: _read,
})
