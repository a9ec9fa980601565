"""A request in progress at an endpoint."""

from cactusledge.gateway.http_client import EndpointConnection
from cactusledge.gateway.messages import Repeatability, Replica


class OpenExchange:
    """An exchange in progress; implements `partitions.Exchange`."""

    def __init__(
        self,
        replica: Replica,
        conn: EndpointConnection,
        repeatability: Repeatability,
    ) -> None:
        """Stores the endpoint, its connection and the retry policy."""
        self.replica = replica
        self._conn = conn
        self._repeatability = repeatability

    @property
    def may_be_abandoned(self) -> bool:
        """Whether the caller can retry after a broken exchange.

        Callers resend a turn whose stream was cut off, but not a call that
        may run only once.
        """
        return self._repeatability is not Repeatability.ONCE

    @property
    def last_activity_s(self) -> float:
        """When data was last sent or received; loop clock."""
        return self._conn.last_activity_s

    @property
    def received_s(self) -> float:
        """When data was last received from the endpoint; loop clock."""
        return self._conn.received_s

    def abandon(self) -> None:
        """Ends the exchange as broken and closes its connection."""
        self._conn.abandon()
