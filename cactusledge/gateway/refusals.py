"""To which request an answer on a connection belongs, and which were refused.

Pure. An endpoint may write an earlier refusal once more, or bytes that belong
to no request, where the answer to the next request is due.
"""

from cactusledge.gateway.messages import EndpointAnswer

MAX_REFUSED = 256  # requests that one connection may refuse


class Refusals:
    """The requests that were refused on a connection."""

    def __init__(self, *, echoes_ids: bool = True) -> None:
        """Starts before the first request.

        Args:
            echoes_ids: Whether each answer names its request.
        """
        self._echoes_ids = echoes_ids
        self._request_id = ''
        self._requests = 0
        self._refused: set[str] = set()  # request ids

    @property
    def is_full(self) -> bool:
        """Whether the connection has refused too many to be used again."""
        return len(self._refused) >= MAX_REFUSED

    def begin(self, request_id: str) -> None:
        """Takes note that a request is sent."""
        self._request_id = request_id
        self._requests += 1

    def can_carry(self, request_id: str) -> bool:
        """Returns whether the request may be sent on this connection.

        Its answer must be told from others: it must not have been refused here
        before, and without an id it needs a connection that has carried none.
        """
        if not request_id:
            return not self._requests
        return request_id not in self._refused

    def can_assign(self, answer: EndpointAnswer) -> bool:
        """Returns whether it is known to which request an answer is."""
        is_named = bool(answer.request_id) or not self._echoes_ids
        return is_named or self._requests <= 1

    def own(self, answer: EndpointAnswer) -> EndpointAnswer:
        """Returns an answer as far as it is known to be to this request.

        Without an id, 'not run' may be of any request of the connection.
        """
        if not answer.not_run:
            return answer
        if not answer.request_id and self._requests > 1:
            return answer._replace(not_run=False)
        self._refused.add(answer.request_id or self._request_id)
        return answer
