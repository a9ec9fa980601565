"""Sends an order to an engine and determines its result."""

from typing import NamedTuple, TypeAlias

from cactusledge.endpoints.errors import EndpointError, EndpointFailedError
from cactusledge.endpoints.json_client import JsonClient
from cactusledge.endpoints.reports import EngineState, parse_state
from cactusledge.endpoints.transport import HttpRequest
from cactusledge.models import Endpoint

HTTP_OK = 200
HTTP_CONFLICT = 409


class Order(NamedTuple):
    """The target state of an engine."""

    fencing: int
    model: str
    adapter: str = ''
    version: str = ''
    role: str = 'serve'


class Accepted(NamedTuple):
    """The engine reports the ordered state."""

    state: EngineState


class StaleFencing(NamedTuple):
    """The engine refused: it knows a higher fencing number."""

    fencing: int


class Mismatch(NamedTuple):
    """The engine accepted the order but reports another state."""

    state: EngineState


OrderResult: TypeAlias = Accepted | StaleFencing | Mismatch


def has_state(state: EngineState, order: Order) -> bool:
    """Returns whether a state matches an order; ignores fencing numbers."""
    target = (order.model, order.adapter, order.version, order.role)
    return target == (state.model, state.adapter, state.version, state.role)


def read_state(
    client: JsonClient,
    endpoint: Endpoint,
    deadline_s: float,
) -> EngineState:
    """Returns the state that an engine reports."""
    request = HttpRequest('GET', '/v1/state')
    return parse_state(client.request_document(endpoint, request, deadline_s))


def send_order(
    client: JsonClient,
    endpoint: Endpoint,
    order: Order,
    deadline_s: float,
) -> OrderResult:
    """Sends an order once and reads the engine's state afterwards.

    If the answer is lost, the state that is read decides the result; if it
    does not match, the order may still take effect later.

    Raises:
        EndpointRefusedError: The order was not sent, or was not executed.
        EndpointFailedError: It is not known whether it was executed.
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
        # The failed query does not change that the order was sent.
        raise failure from exc


def _unconfirmed_error(endpoint: Endpoint, status: int) -> EndpointFailedError:
    return EndpointFailedError(
        f'{endpoint.name} answered an order with status {status}, and its '
        'state does not confirm it.',
        remedy='Read the state of the engine before the next order.',
        endpoint=endpoint.name,
        status=status,
    )
