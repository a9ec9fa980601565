"""Collects the head of a response while it is parsed."""

from cactusledge.gateway.messages import Headers


class ReceivedHead:
    """The status line's text and the headers of the response in progress."""

    def __init__(self) -> None:
        """Starts before the first response."""
        self.reason = b''
        self.headers: Headers = []

    def begin(self) -> None:
        """Starts the next response."""
        self.reason = b''
        self.headers = []

    def add_reason(self, part: bytes) -> None:
        """Adds a part of the text after the status code."""
        self.reason += part

    def add_header(self, name: bytes, content: bytes) -> None:
        """Adds one header."""
        self.headers.append((name, content))
