"""Client for short requests that an endpoint answers with one document."""

from contextlib import closing
from typing import Any, NamedTuple

from cactusledge.endpoints.errors import (
    EndpointFailedError,
    EndpointRejectedError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.transport import (
    Exchange,
    HttpRequest,
    Timeouts,
    send,
)
from cactusledge.models import Endpoint

HTTP_OK = 200


class Reply(NamedTuple):
    """The status and the parsed JSON body of an answer."""

    status: int
    document: Any


class JsonClient(NamedTuple):
    """Sends JSON requests without retries."""

    pools: ConnectionPools
    connect_timeout_s: float
    read_timeout_s: float

    def request_document(
        self,
        endpoint: Endpoint,
        request: HttpRequest,
        deadline_s: float,
    ) -> Any:
        """Returns the document of the answer; requires status 200."""
        timeouts = Timeouts(
            deadline_s, self.connect_timeout_s, self.read_timeout_s
        )
        try:
            with self.pools.shared(endpoint.address) as pool:
                reply = _read_reply(send(pool, endpoint, request, timeouts))
        except EndpointFailedError:
            self.pools.evict(endpoint.address)
            raise
        if reply.status == HTTP_OK:
            return reply.document
        raise EndpointRejectedError(
            f'{endpoint.name} answered {request.path} with status '
            f'{reply.status}.',
            remedy='Check that the endpoint is an engine with this API.',
            endpoint=endpoint.name,
            status=reply.status,
        )

    def request_on_new_connection(
        self,
        endpoint: Endpoint,
        request: HttpRequest,
        deadline_s: float,
    ) -> Reply:
        """Sends a request on a new connection and returns the answer."""
        timeouts = Timeouts(
            deadline_s, self.connect_timeout_s, self.read_timeout_s
        )
        with self.pools.fresh(endpoint.address) as pool:
            return _read_reply(send(pool, endpoint, request, timeouts))


def _read_reply(exchange: Exchange) -> Reply:
    with closing(exchange):
        return Reply(exchange.response.status, exchange.document())
