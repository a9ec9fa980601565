"""Takes what a client sends and hands its requests on, one at a time."""

from collections import deque
from collections.abc import Callable

from cactusledge.gateway.client_bounds import Bound, BoundMetError
from cactusledge.gateway.messages import Limits
from cactusledge.gateway.request_parser import (
    PIECE_BYTES,
    Arrived,
    RequestParser,
)


class RequestQueue:
    """What has arrived and is not served yet.

    At most what one piece of the parser brings is kept as requests; the rest
    is kept unparsed until these are served.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.unparsed = b''
        self._requests: deque[Arrived] = deque()
        self._held = 0  # bytes of requests

    @property
    def held(self) -> int:
        """The bytes that it takes in memory."""
        return self._held + len(self.unparsed)

    @property
    def has_requests(self) -> bool:
        """Whether a complete request waits."""
        return bool(self._requests)

    @property
    def is_waiting(self) -> bool:
        """Whether anything waits."""
        return self.has_requests or bool(self.unparsed)

    def put(self, arrived: Arrived) -> None:
        """Adds a complete request."""
        self._requests.append(arrived)
        self._held += arrived.held

    def take(self) -> Arrived:
        """Removes and returns the first request."""
        arrived = self._requests.popleft()
        self._held -= arrived.held
        return arrived

    def take_unparsed(self) -> bytes:
        """Removes and returns what is not parsed yet."""
        unparsed = self.unparsed
        self.unparsed = b''
        return unparsed

    def clear(self) -> None:
        """Drops everything."""
        self._requests.clear()
        self._held = 0
        self.unparsed = b''


class RequestInput:
    """The requests of one connection; implements `ParserTarget`."""

    def __init__(
        self,
        limits: Callable[[], Limits],
        admits: Callable[[int], bool],
        on_begin: Callable[[], None],
        on_expect_continue: Callable[[], None],
    ) -> None:
        """Stores the callbacks.

        Args:
            limits: Returns the limits on the next request.
            admits: Returns whether a body of so many bytes may come.
            on_begin: Called as a request begins to arrive.
            on_expect_continue: Called if its caller waits to send the body.
        """
        self.on_begin = on_begin
        self.on_expect_continue = on_expect_continue
        self.refusal: BoundMetError | None = None  # of what came last
        self._limits = limits
        self._admits = admits
        self._queue = RequestQueue()
        self._parser = RequestParser(self)

    @property
    def limits(self) -> Limits:
        """The limits on the next request."""
        return self._limits()

    @property
    def held(self) -> int:
        """The bytes that it takes in memory."""
        return self._parser.held + self._queue.held

    @property
    def is_reading(self) -> bool:
        """Whether a request has arrived in part."""
        return self.refusal is None and self._parser.is_reading

    @property
    def is_full(self) -> bool:
        """Whether nothing more should be read now."""
        return self.refusal is not None or self._queue.is_waiting

    def feed(self, data: bytes) -> None:
        """Takes data; parses until a request is complete."""
        start = 0
        while start < len(data) and not self.is_full:
            self._feed_piece(data[start : start + PIECE_BYTES])
            start += PIECE_BYTES
        if self.refusal is None:
            self._queue.unparsed += data[start:]

    def take(self) -> Arrived | None:
        """Removes and returns the next complete request, if there is one."""
        if not self._queue.has_requests:
            self.feed(self._queue.take_unparsed())
        return self._queue.take() if self._queue.has_requests else None

    def refuse(self, bound: Bound) -> None:
        """Drops what has arrived; it is refused once its turn comes."""
        self.refusal = BoundMetError(bound)
        self._parser.drop()
        self._queue.clear()

    def on_announced(self, size: int) -> None:
        """Refuses a body for which there is no room."""
        if not self._admits(size):
            raise BoundMetError(Bound.MEMORY)

    def on_request(self, arrived: Arrived) -> None:
        """Queues a complete request."""
        self._queue.put(arrived)

    def _feed_piece(self, piece: bytes) -> None:
        try:
            self._parser.feed(piece)
        except BoundMetError as exc:
            self.refusal = exc
            self._parser.drop()
