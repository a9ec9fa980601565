"""A caller that measures its calls, through an entry or at an endpoint."""

import json
import os
import time
import uuid
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from urllib3 import BaseHTTPResponse, PoolManager, Timeout

from standins.ports import LOOPBACK

CONNECT_TIMEOUT_S = 5
READ_TIMEOUT_S = 60
FIRST_ERROR_STATUS = 400
FAILED = 'failed'
RAN = 'RAN'
TOKEN = 'load-token'
MODEL = 'load-model'
SERVICE = 'load-service'
DEFINITION = 'load-program'
MESSAGE = 'Draft a visit of three showrooms and compare their open slots. ' * 8

Document = dict[str, Any]


class Timing(NamedTuple):
    """One call: its kind, its latency and how it ended."""

    kind: str
    latency_s: float
    first_token_s: float | None = None
    outcome: str = RAN  # or the error's code
    tokens: int = 0

    @property
    def ran(self) -> bool:
        """Whether the call was answered."""
        return self.outcome == RAN


class HttpCaller:
    """Sends requests on connections of its own."""

    def __init__(self) -> None:
        """Opens no connection yet."""
        self._pool = PoolManager(
            retries=False,
            maxsize=1,
            timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def post(
        self,
        port: int,
        path: str,
        document: Document,
        headers: Mapping[str, str] | None = None,
    ) -> BaseHTTPResponse:
        """Posts a document; returns the answer before its body is read."""
        return self._pool.request(
            'POST',
            f'http://{LOOPBACK}:{port}{path}',
            body=json.dumps(document).encode(),
            headers={'Content-Type': 'application/json', **(headers or {})},
            preload_content=False,
        )


class ProgramCaller:
    """Makes the calls of one program through entry instances."""

    def __init__(self, port: int) -> None:
        """Keeps the port of the instance that it asks."""
        self.port = port
        self.program_id = ''
        self._http = HttpCaller()
        self._seq = 1

    def open(self) -> Timing:
        """Opens a program."""
        began_s = time.monotonic()
        key = uuid.uuid4().hex
        document = {'definition': DEFINITION, 'key': key}
        answer = self._post('/v1/programs', document)
        found = _read(answer)
        self.program_id = found.get('program_id', '')
        self._seq = 1
        return Timing('open', _since(began_s), outcome=_outcome(found, answer))

    def ask_model(self, tokens: int) -> Timing:
        """Makes a streamed model call."""
        messages = [{'role': 'user', 'content': MESSAGE}]
        body = {
            'kind': 'model',
            'messages': messages,
            'max_output_tokens': tokens,
            'stream': True,
        }
        began_s = time.monotonic()
        answer = self._call(body)
        return self._taken(read_stream(answer, 'model', began_s))

    def use_tool(self, operation: str, argument_bytes: int = 0) -> Timing:
        """Calls a service's operation, with arguments of this size."""
        body = {
            'kind': 'service',
            'target': SERVICE,
            'operation': operation,
            'arguments': {
                'step': self._seq,
                'text': _text_of(argument_bytes),
            },
        }
        began_s = time.monotonic()
        answer = self._call(body)
        outcome = _outcome(_read(answer), answer)
        timing = Timing(operation, _since(began_s), outcome=outcome)
        return self._taken(timing)

    def end(self) -> Timing:
        """Ends the program."""
        began_s = time.monotonic()
        answer = self._post(f'/v1/programs/{self.program_id}/end', {})
        outcome = _outcome(_read(answer), answer)
        return Timing('end', _since(began_s), outcome=outcome)

    def _taken(self, timing: Timing) -> Timing:
        self._seq += int(timing.ran)
        return timing

    def _call(self, body: Document) -> BaseHTTPResponse:
        identity = {'seq': self._seq, 'key': f'call-{self._seq}'}
        path = f'/v1/programs/{self.program_id}/calls'
        return self._post(path, {**identity, **body})

    def _post(self, path: str, document: Document) -> BaseHTTPResponse:
        headers = {'Authorization': f'Bearer {TOKEN}'}
        return self._http.post(self.port, path, document, headers)


class DirectCaller:
    """Makes the same calls at the endpoints themselves."""

    def __init__(self, engine_port: int, service_port: int) -> None:
        """Keeps the ports."""
        self._ports = (engine_port, service_port)
        self._http = HttpCaller()

    def ask_model(self, tokens: int) -> Timing:
        """Makes a streamed completion."""
        body = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': MESSAGE}],
            'max_tokens': tokens,
            'stream': True,
        }
        began_s = time.monotonic()
        headers = {'X-Request-Id': uuid.uuid4().hex}
        path = '/v1/chat/completions'
        answer = self._http.post(self._ports[0], path, body, headers)
        return read_stream(answer, 'model', began_s)

    def use_tool(self, operation: str) -> Timing:
        """Calls an operation."""
        began_s = time.monotonic()
        headers = {'Idempotency-Key': uuid.uuid4().hex}
        answer = self._http.post(
            self._ports[1],
            f'/operations/{operation}',
            {'step': 1},
            headers,
        )
        outcome = _outcome(_read(answer), answer)
        return Timing(operation, _since(began_s), outcome=outcome)


def read_stream(
    answer: BaseHTTPResponse,
    kind: str,
    began_s: float,
) -> Timing:
    """Reads server-sent events to their end."""
    if answer.status >= FIRST_ERROR_STATUS:
        outcome = _outcome(_read(answer), answer)
        return Timing(kind, _since(began_s), outcome=outcome)
    first_s: float | None = None
    tokens = 0
    last = b''
    for line in _lines(answer):
        if line.startswith(b'data: {'):
            first_s = first_s or _since(began_s)
            tokens += 1
            last = line
    document = json.loads(last.removeprefix(b'data: ') or b'{}')
    outcome = _outcome(document, answer)
    return Timing(kind, _since(began_s), first_s, outcome, tokens - 1)


def _lines(answer: BaseHTTPResponse) -> Iterator[bytes]:
    """Yields whole lines as they arrive."""
    buffer = b''
    for piece in answer.stream(amt=None):
        *lines, buffer = (buffer + piece).split(b'\n')
        yield from lines


def _read(answer: BaseHTTPResponse) -> Document:
    document: Document = json.loads(answer.read() or b'{}')
    answer.release_conn()
    return document


def _outcome(document: Document, answer: BaseHTTPResponse) -> str:
    if answer.status >= FIRST_ERROR_STATUS:
        error = document.get('error') or document
        return str(error.get('code') or FAILED)
    return str(document.get('code') or document.get('outcome') or RAN)


def _text_of(size_bytes: int) -> str:
    """Returns text that hardly compresses."""
    return os.urandom(size_bytes // 2).hex()


def _since(began_s: float) -> float:
    return time.monotonic() - began_s
