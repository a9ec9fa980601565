"""Gives one order to an engine and finds out what became of it."""

from typing import NamedTuple, TypeAlias

from cactusledge.endpoints.errors import EndpointError, EndpointFailedError
from cactusledge.endpoints.json_client import JsonClient
from cactusledge.endpoints.reports import EngineState, parse_state
from cactusledge.endpoints.transport import HttpRequest
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
    target = (order.model, order.adapter, order.version, order.role)
    return target == (state.model, state.adapter, state.version, state.role)


def read_state(
    client: JsonClient,
    endpoint: Endpoint,
    deadline_s: float,
) -> EngineState:
    """Returns what an engine serves."""
    request = HttpRequest('GET', '/v1/state')
    return parse_state(client.request_document(endpoint, request, deadline_s))


def send_order(
    client: JsonClient,
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
    request = HttpRequest('POST', '/v1/orders', body=order._asdict())
    try:
        reply = client.request_on_new_connection(endpoint, request, deadline_s)
    except EndpointFailedError as lost:
        return _resolve_lost_answer(client, endpoint, order, deadline_s, lost)
    if reply.status == HTTP_CONFLICT:
        return StaleFencing(int(reply.document['fencing']))
    failure = _unconfirmed_error(endpoint, reply.status)
    if reply.status != HTTP_OK:
        raise failure
    state = _read_back(client, endpoint, deadline_s, failure)
    return Accepted(state) if has_state(state, order) else Mismatch(state)


def _resolve_lost_answer(
    client: JsonClient,
    endpoint: Endpoint,
    order: Order,
    deadline_s: float,
    lost: EndpointFailedError,
) -> OrderResult:
    state = _read_back(client, endpoint, deadline_s, lost)
    if has_state(state, order):
        return Accepted(state)
    raise lost


def _read_back(
    client: JsonClient,
    endpoint: Endpoint,
    deadline_s: float,
    failure: EndpointFailedError,
) -> EngineState:
    try:
        return read_state(client, endpoint, deadline_s)
    except EndpointError as exc:
        # The order was sent, whatever became of this question.
        raise failure from exc


def _unconfirmed_error(endpoint: Endpoint, status: int) -> EndpointFailedError:
    return EndpointFailedError(
        f'{endpoint.name} answered an order with status {status}, and its '
        'state does not confirm it.',
        remedy='Read its state before the next order.',
        endpoint=endpoint.name,
        status=status,
    )
