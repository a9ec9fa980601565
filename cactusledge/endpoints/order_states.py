"""Orders to engines that ignore fencing numbers: the orderer's states; pure.

Such an engine obeys whoever speaks last. So there is one orderer, chosen by a
conditional update at the platform; it states the wanted end state, reads the
engine's state before and after the order, and a new one first waits until no
order of its predecessor can still be under way.
"""

import enum
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import NamedTuple, TypeAlias

from cactusledge.endpoints.order_client import Order, has_state
from cactusledge.endpoints.reports import EngineState


class Phase(enum.StrEnum):
    """Where the orderer stands with one engine."""

    WAIT_OUT = 'wait_out'  # an earlier order may still be under way
    READ_BEFORE = 'read_before'
    CHECK_OWNER = 'check_owner'
    SEND = 'send'
    READ_AFTER = 'read_after'
    DONE = 'done'  # the engine has the wanted state
    GIVEN_UP = 'given_up'  # all tries are used up
    SUPERSEDED = 'superseded'  # another instance is the orderer now


FINAL_PHASES = frozenset((Phase.DONE, Phase.GIVEN_UP, Phase.SUPERSEDED))


class OrderLimits(NamedTuple):
    """How long an order can be under way, and how often one is sent."""

    send_window_s: float = 5  # from the check of the owner to the send
    longest_order_s: float = 60  # from the send to the last effect
    max_attempts: int = 3

    @property
    def wait_out_s(self) -> float:
        """How long an order can act after its orderer lost the ownership."""
        return self.send_window_s + self.longest_order_s


class Waited(NamedTuple):
    """The wait is over."""


class StateRead(NamedTuple):
    """The engine told its state."""

    state: EngineState


class OwnerChecked(NamedTuple):
    """The platform told whether this instance still is the orderer."""

    is_owner: bool
    query_started_s: float  # when the question began


class Answered(NamedTuple):
    """The engine answered that it carried the order out."""


class Failed(NamedTuple):
    """A question or an order got no answer, or was refused."""


Event: TypeAlias = Waited | StateRead | OwnerChecked | Answered | Failed


class OrderProgress(NamedTuple):
    """State of the orderer with one engine."""

    target: Order
    limits: OrderLimits
    phase: Phase = Phase.WAIT_OUT
    attempts_left: int = 0
    last_state: EngineState | None = None
    owner_checked_s: float = 0  # when the question for the owner began


def initial_progress(target: Order, limits: OrderLimits) -> OrderProgress:
    """Returns the state of a new orderer, which waits first."""
    return OrderProgress(target, limits, attempts_left=limits.max_attempts)


def advance(progress: OrderProgress, event: Event) -> OrderProgress:
    """Returns the next state; an event out of place changes nothing."""
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
    met = has_state(event.state, progress.target)
    return progress._replace(
        phase=Phase.DONE if met else otherwise,
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
    """Waits out what may be under way, if a try is left."""
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
