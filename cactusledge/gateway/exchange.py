"""A request under way at an endpoint."""

from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.messages import Repeatability, Replica


class OpenExchange:
    """An exchange under way; implements `partitions.Exchange`."""

    def __init__(
        self,
        replica: Replica,
        conn: EndpointConnection,
        repeatability: Repeatability,
    ) -> None:
        """Keeps the connection that carries it."""
        self.replica = replica
        self._conn = conn
        self._repeatability = repeatability

    @property
    def may_be_abandoned(self) -> bool:
        """Whether the caller can try again after a broken exchange.

        A turn that was broken off is sent again by its caller, a call that
        may run only once is not.
        """
        return self._repeatability is not Repeatability.ONCE

    @property
    def last_received_s(self) -> float:
        """When the endpoint was last heard of."""
        return self._conn.last_received_s

    def abandon(self) -> None:
        """Ends the exchange as broken."""
        self._conn.abandon()
