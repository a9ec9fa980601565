"""Client of model engines: streams, cache, load, state and orders."""

from collections.abc import Iterator, Mapping
from contextlib import closing
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import quote

from cactusledge.endpoints.assembly import Chunk, Finished, StreamEvent
from cactusledge.endpoints.errors import (
    EndpointError,
    EndpointFailedError,
    EndpointRejectedError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.reports import (
    CacheEvents,
    CacheExport,
    EngineState,
    LoadReport,
    parse_events,
    parse_load,
    parse_state,
)
from cactusledge.endpoints.streams import (
    EngineLimits,
    ModelStream,
    StreamRequest,
)
from cactusledge.endpoints.transport import Exchange, Outgoing, Waits, send
from cactusledge.models import Endpoint

__all__ = (
    'Accepted',
    'Chunk',
    'EngineClient',
    'EngineLimits',
    'Finished',
    'Mismatch',
    'Order',
    'OrderResult',
    'StaleFencing',
    'StreamEvent',
)

DEFAULT_LIMITS = EngineLimits()
HTTP_OK = 200
HTTP_CONFLICT = 409
ORDER_SILENCE_S = 60


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


class EngineClient:
    """Talks to model engines."""

    def __init__(
        self,
        pools: ConnectionPools,
        limits: EngineLimits = DEFAULT_LIMITS,
    ) -> None:
        """Keeps the connections to use and the limits."""
        self._pools = pools
        self._limits = limits

    def stream(
        self,
        endpoint: Endpoint,
        body: Mapping[str, Any],
        *,
        request_id: str,
        deadline_s: float,
        headers: Mapping[str, str],
    ) -> Iterator[StreamEvent]:
        """Yields the chunks of an answer in order, then the whole.

        A stream that breaks or goes silent is resumed at the same engine on a
        fresh connection, a bounded number of times. Closing the iterator
        drops the connection; the engine goes on until `cancel`.

        Args:
            endpoint: Engine to ask.
            body: Completion request; it is always asked to stream.
            request_id: Names the stream; unique for each request.
            deadline_s: Point in time of `time.monotonic` to give up at.
            headers: Further headers, such as `traceparent`.

        Raises:
            EndpointRefusedError: Nothing was sent, or the engine did not run.
            EndpointFailedError: Whether it ran is not known; `text` holds the
                output that had arrived.
        """
        request = StreamRequest(
            endpoint,
            request_id,
            body,
            headers,
            deadline_s,
        )
        stream = ModelStream(request, self._pools, self._limits)
        try:
            yield from stream.events()
        except EndpointError as exc:
            exc.text = stream.text
            raise

    def cancel(
        self,
        endpoint: Endpoint,
        request_id: str,
        *,
        deadline_s: float,
    ) -> bool:
        """Ends a stream; returns whether it was still running."""
        request = Outgoing('DELETE', f'/v1/streams/{quote(request_id, "")}')
        return bool(self._ask(endpoint, request, deadline_s)['cancelled'])

    def release_cache(
        self,
        endpoint: Endpoint,
        program_id: str,
        *,
        deadline_s: float,
    ) -> int:
        """Frees a program's cache; returns the freed tokens. Idempotent."""
        request = Outgoing('DELETE', _cache_path(program_id))
        return int(self._ask(endpoint, request, deadline_s)['freed_tokens'])

    def export_cache(
        self,
        endpoint: Endpoint,
        program_id: str,
        *,
        deadline_s: float,
    ) -> CacheExport:
        """Returns a program's cache for `import_cache`."""
        request = Outgoing('GET', _cache_path(program_id))
        document = self._ask(endpoint, request, deadline_s)
        return CacheExport(document['model'], tuple(document['chunks']))

    def import_cache(
        self,
        endpoint: Endpoint,
        program_id: str,
        export: CacheExport,
        *,
        deadline_s: float,
    ) -> None:
        """Gives an engine the cache that another exported. Idempotent."""
        body = export._asdict()
        request = Outgoing('PUT', _cache_path(program_id), body=body)
        self._ask(endpoint, request, deadline_s)

    def load_report(
        self,
        endpoint: Endpoint,
        *,
        deadline_s: float,
    ) -> LoadReport:
        """Returns the engine's load, with the age of the report."""
        request = Outgoing('GET', '/v1/load')
        return parse_load(self._ask(endpoint, request, deadline_s))

    def cache_events(
        self,
        endpoint: Endpoint,
        after: int,
        *,
        deadline_s: float,
    ) -> CacheEvents:
        """Returns the cache events that follow a sequence number."""
        request = Outgoing('GET', f'/v1/cache/events?after={after}')
        document = self._ask(endpoint, request, deadline_s)
        return parse_events(after, document['events'])

    def read_state(
        self,
        endpoint: Endpoint,
        *,
        deadline_s: float,
    ) -> EngineState:
        """Returns what the engine serves."""
        request = Outgoing('GET', '/v1/state')
        return parse_state(self._ask(endpoint, request, deadline_s))

    def order(
        self,
        endpoint: Endpoint,
        order: Order,
        *,
        deadline_s: float,
    ) -> OrderResult:
        """Orders a state once and reads it back.

        After a lost answer the state read back decides; if it is not the
        ordered one, the order may still be under way and the error is raised.
        """
        try:
            status, document = self._send_order(endpoint, order, deadline_s)
        except EndpointFailedError:
            state = self.read_state(endpoint, deadline_s=deadline_s)
            if not has_state(state, order):
                raise
            return Accepted(state)
        if status == HTTP_CONFLICT:
            return StaleFencing(int(document['fencing']))
        state = self.read_state(endpoint, deadline_s=deadline_s)
        return Accepted(state) if has_state(state, order) else Mismatch(state)

    def _send_order(
        self,
        endpoint: Endpoint,
        order: Order,
        deadline_s: float,
    ) -> tuple[int, Any]:
        request = Outgoing('POST', '/v1/orders', body=order._asdict())
        waits = Waits(deadline_s, self._limits.connect_s, ORDER_SILENCE_S)
        with self._pools.fresh(endpoint.address) as pool:
            return _whole_answer(send(pool, endpoint, request, waits))

    def _ask(
        self,
        endpoint: Endpoint,
        request: Outgoing,
        deadline_s: float,
    ) -> Any:
        limits = self._limits
        waits = Waits(deadline_s, limits.connect_s, limits.inter_token_s)
        with self._pools.shared(endpoint.address) as pool:
            status, document = _whole_answer(
                send(pool, endpoint, request, waits),
            )
        if status == HTTP_OK:
            return document
        raise EndpointRejectedError(
            f'{endpoint.name} answered {request.path} with status {status}.',
            remedy='Check that the endpoint is an engine of this protocol.',
            endpoint=endpoint.name,
            status=status,
        )


def has_state(state: EngineState, order: Order) -> bool:
    """Returns whether a state is the ordered one, fencing number aside."""
    wanted = (order.model, order.adapter, order.version, order.role)
    return wanted == (state.model, state.adapter, state.version, state.role)


def _whole_answer(exchange: Exchange) -> tuple[int, Any]:
    with closing(exchange):
        return exchange.response.status, exchange.document()


def _cache_path(program_id: str) -> str:
    return f'/v1/cache/{quote(program_id, safe="")}'
