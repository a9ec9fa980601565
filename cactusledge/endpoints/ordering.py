"""Gives one order to an engine and finds out what became of it."""

from typing import NamedTuple, TypeAlias

from cactusledge.endpoints.asking import Asker
from cactusledge.endpoints.errors import EndpointError, EndpointFailedError
from cactusledge.endpoints.reports import EngineState, parse_state
from cactusledge.endpoints.transport import Outgoing
from cactusledge.models import Endpoint

HTTP_OK = 200
HTTP_CONFLICT = 409


class Order(NamedTuple):
    """The state that an engine shall have."""

    fencing: int
    model: str
    adapter: str = ''
    version: str = ''
    role: str = 'serve'


class Accepted(NamedTuple):
    """The engine has the ordered state, as it said itself."""

    state: EngineState


class StaleFencing(NamedTuple):
    """The engine refused: it has seen a higher fencing number."""

    fencing: int


class Mismatch(NamedTuple):
    """The engine took the order and yet has another state."""

    state: EngineState


OrderResult: TypeAlias = Accepted | StaleFencing | Mismatch


def has_state(state: EngineState, order: Order) -> bool:
    """Returns whether a state is the ordered one, fencing number aside."""
    wanted = (order.model, order.adapter, order.version, order.role)
    return wanted == (state.model, state.adapter, state.version, state.role)


def read_state(
    asker: Asker,
    endpoint: Endpoint,
    deadline_s: float,
) -> EngineState:
    """Returns what an engine serves."""
    request = Outgoing('GET', '/v1/state')
    return parse_state(asker.ask(endpoint, request, deadline_s))


def give_order(
    asker: Asker,
    endpoint: Endpoint,
    order: Order,
    deadline_s: float,
) -> OrderResult:
    """Sends an order once and reads the state back.

    After a lost answer the state read back decides; if it is not the ordered
    one, the order may still be under way.

    Raises:
        EndpointRefusedError: The order was not sent, or not carried out.
        EndpointFailedError: Whether it was carried out is not known.
    """
    request = Outgoing('POST', '/v1/orders', body=order._asdict())
    try:
        reply = asker.ask_fresh(endpoint, request, deadline_s)
    except EndpointFailedError as lost:
        return _settle(asker, endpoint, order, deadline_s, lost)
    if reply.status == HTTP_CONFLICT:
        return StaleFencing(int(reply.document['fencing']))
    failure = _unconfirmed(endpoint, reply.status)
    if reply.status != HTTP_OK:
        raise failure
    state = _read_back(asker, endpoint, deadline_s, failure)
    return Accepted(state) if has_state(state, order) else Mismatch(state)


def _settle(
    asker: Asker,
    endpoint: Endpoint,
    order: Order,
    deadline_s: float,
    lost: EndpointFailedError,
) -> OrderResult:
    state = _read_back(asker, endpoint, deadline_s, lost)
    if has_state(state, order):
        return Accepted(state)
    raise lost


def _read_back(
    asker: Asker,
    endpoint: Endpoint,
    deadline_s: float,
    failure: EndpointFailedError,
) -> EngineState:
    try:
        return read_state(asker, endpoint, deadline_s)
    except EndpointError as exc:
        # The order was sent, whatever became of this question.
        raise failure from exc


def _unconfirmed(endpoint: Endpoint, status: int) -> EndpointFailedError:
    return EndpointFailedError(
        f'{endpoint.name} answered an order with status {status}, and its '
        'state does not confirm it.',
        remedy='Read its state before the next order.',
        endpoint=endpoint.name,
        status=status,
    )
