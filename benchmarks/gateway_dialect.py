"""Headers of the gateway's benchmark; no platform's."""

from cactusledge.gateway.messages import (
    CallInfo,
    EndpointAnswer,
    Headers,
    Outgoing,
    PromptPart,
    Replica,
    Request,
)

REQUEST_ID = b'request-id'
SESSION = b'session'
SEAL = b'seal'
FRAMING = frozenset((b'transfer-encoding', b'connection', b'content-length'))
SHARED = PromptPart('shared', 12600)
SESSION_TOKENS = 1680
MOST_TOKENS = 18


class PlainDialect:
    """Implements `Dialect` with as few headers as the gateway needs."""

    def read_call(self, request: Request) -> CallInfo:
        """Returns what the request says of itself."""
        found = dict(request.headers)
        session = found[SESSION].decode()
        return CallInfo(
            request_id=found[REQUEST_ID].decode(),
            host='benchmark',
            path=request.target.decode(),
            deadline_ms=None,
            program_id=session,
            finish_ms=None,
            budget=None,
            parent_id='',
            prompt_tokens=SHARED.tokens + SESSION_TOKENS,
            max_tokens=MOST_TOKENS,
            parts=(SHARED, PromptPart(session, SESSION_TOKENS)),
            last_event_id='',
        )

    def request_headers(
        self,
        outgoing: Outgoing,
        replica: Replica | None,
        deadline_ms: float,
    ) -> bytes:
        """Returns the header lines to send to an endpoint, with the last."""
        request_id = dict(outgoing.request.headers)[REQUEST_ID]
        host = replica.host.encode() if replica else b'gateway'
        return b'Host: %b\r\n%b: %b\r\nContent-Length: %d\r\n\r\n' % (
            host,
            REQUEST_ID,
            request_id,
            outgoing.size,
        )

    def read_answer(
        self, status: int, headers: Headers, reason: bytes = b''
    ) -> EndpointAnswer:
        """Returns what the head of an endpoint's answer says."""
        found = {name.lower(): content for name, content in headers}
        return EndpointAnswer(
            status=status,
            headers=headers,
            request_id=found.get(REQUEST_ID, b'').decode(),
            has_seal=SEAL in found,
            not_run=False,
            is_encoded=False,
            idle_s=None,
        )

    def response_headers(self, headers: Headers) -> bytes:
        """Returns the header lines of an answer to pass on to the caller."""
        return b''.join(
            b'%b: %b\r\n' % header
            for header in headers
            if header[0].lower() not in FRAMING
        )
