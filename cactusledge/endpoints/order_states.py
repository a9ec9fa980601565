"""State machine for orders to engines that ignore fencing numbers; no I/O.

Such an engine executes whichever order arrives last. Therefore one instance
owns the engine's orders, chosen by a conditional update at the platform. An
order names the complete target state, and the owner reads the engine's state
before and after it. A new owner first waits until no order of the previous
owner can still take effect.
"""

import enum
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import NamedTuple, TypeAlias

from cactusledge.endpoints.order_client import Order, has_state
from cactusledge.endpoints.reports import EngineState


class Phase(enum.StrEnum):
    """Phase of bringing one engine into its target state."""

    WAIT_OUT = 'wait_out'  # an earlier order may still take effect
    READ_BEFORE = 'read_before'
    CHECK_OWNER = 'check_owner'
    SEND = 'send'
    READ_AFTER = 'read_after'
    DONE = 'done'  # the engine has the target state
    GIVEN_UP = 'given_up'  # all attempts have failed
    SUPERSEDED = 'superseded'  # another instance owns the orders


FINAL_PHASES = frozenset((Phase.DONE, Phase.GIVEN_UP, Phase.SUPERSEDED))


class OrderLimits(NamedTuple):
    """How long an order can take effect, and the number of attempts."""

    send_window_s: float = 5  # from the ownership check to the send
    longest_order_s: float = 60  # from the send to the last effect
    max_attempts: int = 3

    @property
    def wait_out_s(self) -> float:
        """How long an order can take effect after its owner was replaced."""
        return self.send_window_s + self.longest_order_s


class Waited(NamedTuple):
    """The wait is over."""


class StateRead(NamedTuple):
    """The engine reported its state."""

    state: EngineState


class OwnerChecked(NamedTuple):
    """The platform reported whether this instance still owns the orders."""

    is_owner: bool
    query_started_s: float  # before the platform was queried


class Answered(NamedTuple):
    """The engine answered that it executed the order."""


class Failed(NamedTuple):
    """A query or an order failed, or was not sent in time."""


Event: TypeAlias = Waited | StateRead | OwnerChecked | Answered | Failed


class OrderProgress(NamedTuple):
    """State of the order to one engine."""

    target: Order
    limits: OrderLimits
    phase: Phase = Phase.WAIT_OUT
    attempts_left: int = 0
    last_state: EngineState | None = None
    owner_checked_s: float = 0  # start of the last ownership query


def initial_progress(target: Order, limits: OrderLimits) -> OrderProgress:
    """Returns the state in which a new owner starts, waiting first."""
    return OrderProgress(target, limits, attempts_left=limits.max_attempts)


def advance(progress: OrderProgress, event: Event) -> OrderProgress:
    """Returns the next state; ignores events that the phase does not expect."""
    transition = _TRANSITIONS.get((progress.phase, type(event)))
    return transition(progress, event) if transition else progress


def _move_to(
    phase: Phase,
    progress: OrderProgress,
    _event: Event,
) -> OrderProgress:
    return progress._replace(phase=phase)


def _read_before(progress: OrderProgress, event: Event) -> OrderProgress:
    return _compare(progress, event, otherwise=Phase.CHECK_OWNER)


def _read_after(progress: OrderProgress, event: Event) -> OrderProgress:
    compared = _compare(progress, event, otherwise=Phase.WAIT_OUT)
    return compared if compared.phase is Phase.DONE else _retry(compared)


def _compare(
    progress: OrderProgress,
    event: Event,
    *,
    otherwise: Phase,
) -> OrderProgress:
    assert isinstance(event, StateRead)
    is_reached = has_state(event.state, progress.target)
    return progress._replace(
        phase=Phase.DONE if is_reached else otherwise,
        last_state=event.state,
    )


def _check_owner(progress: OrderProgress, event: Event) -> OrderProgress:
    assert isinstance(event, OwnerChecked)
    phase = Phase.SEND if event.is_owner else Phase.SUPERSEDED
    return progress._replace(phase=phase, owner_checked_s=event.query_started_s)


def _retry(
    progress: OrderProgress,
    _event: Event | None = None,
) -> OrderProgress:
    """Waits for earlier orders to take effect, if an attempt is left."""
    left = progress.attempts_left - 1
    phase = Phase.WAIT_OUT if left > 0 else Phase.GIVEN_UP
    return progress._replace(phase=phase, attempts_left=left)


Transition: TypeAlias = Callable[[OrderProgress, Event], OrderProgress]

TransitionKey: TypeAlias = tuple[Phase, type[Event]]

_TRANSITIONS: Mapping[TransitionKey, Transition] = MappingProxyType({
    (Phase.WAIT_OUT, Waited): partial(_move_to, Phase.READ_BEFORE),
    (Phase.READ_BEFORE, StateRead): _read_before,
    (Phase.READ_BEFORE, Failed): _retry,
    (Phase.CHECK_OWNER, OwnerChecked): _check_owner,
    (Phase.CHECK_OWNER, Failed): _retry,
    (Phase.SEND, Answered): partial(_move_to, Phase.READ_AFTER),
    (Phase.SEND, Failed): _retry,
    (Phase.READ_AFTER, StateRead): _read_after,
    (Phase.READ_AFTER, Failed): _retry,
})
