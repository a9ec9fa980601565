"""HTTP client of the caller API, used by the commands."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from urllib3 import BaseHTTPResponse, PoolManager, Timeout
from urllib3.exceptions import HTTPError

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Address, Outcome

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 60.0
FIRST_ERROR_STATUS = 400

Document = dict[str, Any]


class ApiError(CactusledgeError):
    """The instance refused the request or could not be reached."""

    def __init__(self, code: ErrorCode, message: str, remedy: str) -> None:
        super().__init__(message, remedy=remedy)
        self.code = code


class ApiClient:
    """Sends a caller's requests to one instance, without retries."""

    def __init__(self, address: Address, token: str) -> None:
        self._url = f'http://{address}'
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Content-Type': 'application/json',
        }
        self._pool = PoolManager(
            retries=False,
            timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def get(self, path: str) -> Document:
        """Returns the JSON document at a path."""
        return _document(self._send('GET', path))

    def post(self, path: str, body: Mapping[str, Any]) -> Document:
        """Posts a JSON document and returns the answer."""
        return _document(self._send('POST', path, body))

    def stream(
        self,
        path: str,
        body: Mapping[str, Any],
    ) -> Iterator[tuple[str, Document]]:
        """Yields the name and document of each server-sent event.

        Raises:
            ApiError: The connection failed; the call may have run.
        """
        response = self._send('POST', path, body, preload_content=False)
        if response.status >= FIRST_ERROR_STATUS:
            _document(response)
        try:
            yield from read_events(response.stream(amt=None))
        except HTTPError as exc:
            raise stream_broken_error() from exc

    def _send(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        preload_content: bool = True,
    ) -> BaseHTTPResponse:
        try:
            return self._pool.request(
                method,
                f'{self._url}{path}',
                body=None if body is None else json.dumps(body).encode(),
                headers=self._headers,
                preload_content=preload_content,
            )
        except HTTPError as exc:
            raise ApiError(
                ErrorCode.PEER_UNREACHABLE,
                f'{self._url} cannot be reached: {exc}.',
                'Check --api, or ask another instance.',
            ) from exc


def _document(response: BaseHTTPResponse) -> Document:
    document: Document = json.loads(response.data)
    error = document.get('error')
    if response.status < FIRST_ERROR_STATUS:
        return document
    if error is None:  # an Answer, whose code and remedy are at its top level
        outcome = document.get('outcome', Outcome.UNKNOWN)
        error = {**document, 'message': f'The call ended as {outcome}.'}
    raise ApiError(
        ErrorCode(error['code']),
        error['message'],
        error['remedy'],
    )


def read_events(parts: Iterable[bytes]) -> Iterator[tuple[str, Document]]:
    """Yields the name and document of each event; a partial one is dropped."""
    fields: dict[str, str] = {}
    buffer = b''
    for part in parts:
        *lines, buffer = (buffer + part).split(b'\n')
        for line in lines:
            field, _, text = line.decode().partition(': ')
            fields[field] = text
            if not line:
                yield from _event_of(fields)
                fields = {}


def _event_of(fields: Mapping[str, str]) -> Iterator[tuple[str, Document]]:
    document = fields.get('data')
    if document is not None:
        yield fields.get('event', ''), json.loads(document)


def stream_broken_error() -> ApiError:
    """Returns the error for a stream that ended before the call's answer."""
    return ApiError(
        ErrorCode.OUTCOME_UNKNOWN,
        'The stream ended before the answer to the call.',
        'See whether the call ran with `cactusledge history PROGRAM_ID`.',
    )
