"""Interface that translates platform headers to and from gateway types."""

from typing import Protocol

from cactusledge.gateway.messages import (
    CallInfo,
    EndpointAnswer,
    Headers,
    Outgoing,
    Replica,
    Request,
)


class Dialect(Protocol):
    """Reads and writes platform headers; implemented by an adapter."""

    def read_call(self, request: Request) -> CallInfo:
        """Returns the call parameters read from the request's headers."""

    def request_headers(
        self,
        outgoing: Outgoing,
        replica: Replica | None,
        deadline_ms: float,
    ) -> bytes:
        """Returns the header block to send to an endpoint.

        Without one it is for another gateway, which may not forward it again.
        The blank line that ends the head is included.
        """

    def read_answer(
        self, status: int, headers: Headers, reason: bytes = b''
    ) -> EndpointAnswer:
        """Returns the parsed head of an endpoint's response.

        Args:
            status: The status code.
            headers: Names and values, as received.
            reason: The text after the status code.
        """

    def response_headers(self, headers: Headers) -> bytes:
        """Returns the header lines to forward to the caller.

        Hop-by-hop and framing headers are left out.
        """
