"""Client of model engines: streams, cache, load, state and orders."""

from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import quote

from cactusledge.endpoints.errors import EndpointError
from cactusledge.endpoints.json_client import JsonClient
from cactusledge.endpoints.order_client import (
    Accepted,
    Mismatch,
    Order,
    OrderResult,
    StaleFencing,
    read_state,
    send_order,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.reports import (
    CacheEvents,
    CacheExport,
    EngineState,
    LoadReport,
    parse_events,
    parse_load,
)
from cactusledge.endpoints.stream_assembly import Chunk, Finished, StreamEvent
from cactusledge.endpoints.streams import (
    EngineLimits,
    ModelStream,
    StreamRequest,
)
from cactusledge.endpoints.transport import HttpRequest
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


class EngineClient:
    """Sends completion requests, cache operations and orders to engines."""

    def __init__(
        self,
        pools: ConnectionPools,
        limits: EngineLimits = DEFAULT_LIMITS,
    ) -> None:
        """Creates the JSON clients for queries and for orders."""
        self._pools = pools
        self._limits = limits
        self._json_client = JsonClient(
            pools, limits.connect_timeout_s, limits.inter_token_s
        )
        self._order_client = self._json_client._replace(
            read_timeout_s=limits.order_timeout_s
        )

    def stream(
        self,
        endpoint: Endpoint,
        body: Mapping[str, Any],
        *,
        request_id: str,
        deadline_s: float,
        headers: Mapping[str, str],
    ) -> Iterator[StreamEvent]:
        """Yields the chunks of an answer in order, then the complete answer.

        A stream that breaks or times out is resumed at the same engine on a
        new connection, a bounded number of times. Closing the iterator closes
        the connection; the engine continues to generate until `cancel`.

        Args:
            endpoint: Engine that runs the request.
            body: Completion request; `stream` is always set to true.
            request_id: Identifies the stream; unique for each request.
            deadline_s: Deadline on the clock of `time.monotonic`.
            headers: Additional headers, such as `traceparent`.

        Raises:
            EndpointRefusedError: Nothing was sent, or the engine did not run.
            EndpointFailedError: It is not known whether the engine ran; `text`
                holds the output received so far.
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
        """Cancels a stream; returns whether it was still running."""
        request = HttpRequest('DELETE', f'/v1/streams/{quote(request_id, "")}')
        return bool(
            self._json_client.request_document(endpoint, request, deadline_s)[
                'cancelled'
            ]
        )

    def release_cache(
        self,
        endpoint: Endpoint,
        program_id: str,
        *,
        deadline_s: float,
    ) -> int:
        """Frees a program's cache; returns the freed tokens. Idempotent."""
        request = HttpRequest('DELETE', _cache_path(program_id))
        return int(
            self._json_client.request_document(endpoint, request, deadline_s)[
                'freed_tokens'
            ]
        )

    def export_cache(
        self,
        endpoint: Endpoint,
        program_id: str,
        *,
        deadline_s: float,
    ) -> CacheExport:
        """Exports a program's cache for `import_cache`."""
        request = HttpRequest('GET', _cache_path(program_id))
        document = self._json_client.request_document(
            endpoint, request, deadline_s
        )
        return CacheExport(document['model'], tuple(document['chunks']))

    def import_cache(
        self,
        endpoint: Endpoint,
        program_id: str,
        export: CacheExport,
        *,
        deadline_s: float,
    ) -> None:
        """Imports a cache that another engine exported. Idempotent."""
        body = export._asdict()
        request = HttpRequest('PUT', _cache_path(program_id), body=body)
        self._json_client.request_document(endpoint, request, deadline_s)

    def load_report(
        self,
        endpoint: Endpoint,
        *,
        deadline_s: float,
    ) -> LoadReport:
        """Returns the engine's load report, which includes its age."""
        request = HttpRequest('GET', '/v1/load')
        return parse_load(
            self._json_client.request_document(endpoint, request, deadline_s)
        )

    def cache_events(
        self,
        endpoint: Endpoint,
        after: int,
        *,
        deadline_s: float,
    ) -> CacheEvents:
        """Returns the cache events after a sequence number."""
        request = HttpRequest('GET', f'/v1/cache/events?after={after}')
        document = self._json_client.request_document(
            endpoint, request, deadline_s
        )
        return parse_events(after, document['events'])

    def read_state(
        self,
        endpoint: Endpoint,
        *,
        deadline_s: float,
    ) -> EngineState:
        """Returns the model, role and other state of the engine."""
        return read_state(self._json_client, endpoint, deadline_s)

    def order(
        self,
        endpoint: Endpoint,
        order: Order,
        *,
        deadline_s: float,
    ) -> OrderResult:
        """Sends an order once and reads the engine's state back."""
        return send_order(self._order_client, endpoint, order, deadline_s)


def _cache_path(program_id: str) -> str:
    return f'/v1/cache/{quote(program_id, safe="")}'
