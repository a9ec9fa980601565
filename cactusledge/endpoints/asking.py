"""Small requests to an endpoint that are answered by one document."""

from contextlib import closing
from typing import Any, NamedTuple

from cactusledge.endpoints.errors import (
    EndpointFailedError,
    EndpointRejectedError,
)
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.transport import Exchange, Outgoing, Waits, send
from cactusledge.models import Endpoint

HTTP_OK = 200


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    document: Any


class Asker(NamedTuple):
    """Sends each request once."""

    pools: ConnectionPools
    connect_s: float
    silence_s: float

    def ask(
        self,
        endpoint: Endpoint,
        request: Outgoing,
        deadline_s: float,
    ) -> Any:
        """Returns the document of the answer, which must be of status 200."""
        waits = Waits(deadline_s, self.connect_s, self.silence_s)
        try:
            with self.pools.shared(endpoint.address) as pool:
                reply = _whole(send(pool, endpoint, request, waits))
        except EndpointFailedError:
            self.pools.evict(endpoint.address)
            raise
        if reply.status == HTTP_OK:
            return reply.document
        raise EndpointRejectedError(
            f'{endpoint.name} answered {request.path} with {reply.status}.',
            remedy='Check that the endpoint is an engine of this protocol.',
            endpoint=endpoint.name,
            status=reply.status,
        )

    def ask_fresh(
        self,
        endpoint: Endpoint,
        request: Outgoing,
        deadline_s: float,
    ) -> Reply:
        """Returns the answer, asked for on a connection of its own."""
        waits = Waits(deadline_s, self.connect_s, self.silence_s)
        with self.pools.fresh(endpoint.address) as pool:
            return _whole(send(pool, endpoint, request, waits))


def _whole(exchange: Exchange) -> Reply:
    with closing(exchange):
        return Reply(exchange.response.status, exchange.document())
