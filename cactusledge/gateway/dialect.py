"""Protocol of the translation between a platform's headers and our types."""

from typing import Protocol

from cactusledge.gateway.messages import (
    CallInfo,
    EndpointAnswer,
    Headers,
    Replica,
    Request,
)


class Dialect(Protocol):
    """Knows the names of the headers; implemented by an adapter."""

    def read_call(self, request: Request) -> CallInfo:
        """Returns what the request says of itself."""

    def request_headers(
        self,
        request: Request,
        replica: Replica,
        deadline_ms: float,
        body_bytes: int,
    ) -> bytes:
        """Returns the header lines to send to an endpoint, with the last."""

    def read_answer(self, status: int, headers: Headers) -> EndpointAnswer:
        """Returns what the head of an endpoint's answer says."""

    def response_headers(self, headers: Headers) -> bytes:
        """Returns the header lines of an answer to pass on to the caller.

        Those that concern one connection or the framing are left out.
        """
