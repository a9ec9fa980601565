"""WSGI requests and responses, independent of the API's routes."""

import json
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from cactusledge.api.body_memory import HeldBody
from cactusledge.api.errors import BadRequestError, TooLargeError

JSON_TYPE = 'application/json'
EVENT_STREAM_TYPE = 'text/event-stream'
PIECE_BYTES = 16384  # of a body with a length
READ_SIZE_BYTES = 4096  # cheroot joins the chunks of a read one by one

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Request(NamedTuple):
    """A request with its whole body and lower-case header names."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    path_args: Mapping[str, str] = {}

    def header(self, name: str) -> str:
        """Returns a header's value, or '' when it is absent."""
        return self.headers.get(name, '')


class Response(NamedTuple):
    """A response; `chunks` may be generated while it is sent."""

    status: HTTPStatus
    chunks: Iterable[bytes]
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def json_response(
    document: object,
    status: HTTPStatus = HTTPStatus.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Returns a response whose body is a JSON document."""
    data = json.dumps(document).encode()
    length = ('Content-Length', str(len(data)))
    return Response(status, [data], headers=(*headers, length))


def read_request(
    environ: Mapping[str, Any], max_body_bytes: int, held: HeldBody
) -> Request:
    """Reads a request from its WSGI environment; its body is held.

    Raises:
        BodiesTooLargeError: All bodies together are too large.
        TooLargeError: The body exceeds `max_body_bytes`.
        BadRequestError: Content-Length is not a number, or the body is
            shorter than it.
    """
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ.get('PATH_INFO', '/'),
        query=environ.get('QUERY_STRING', ''),
        headers=headers,
        body=_read_body(environ, max_body_bytes, held),
    )


def send_response(
    response: Response,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Sends the status and headers; returns the chunks of the body."""
    status = f'{response.status.value} {response.status.phrase}'
    headers = [('Content-Type', response.content_type), *response.headers]
    start_response(status, headers)
    return response.chunks


def _read_body(
    environ: Mapping[str, Any], max_body_bytes: int, held: HeldBody
) -> bytes:
    length = _content_length(environ)
    if length is not None and length > max_body_bytes:
        raise TooLargeError(
            f'The request body has {length} bytes.',
            remedy=f'Send at most {max_body_bytes} bytes.',
        )
    if length is None:
        return _read_chunked(environ, max_body_bytes, held)
    data = bytearray()
    while len(data) < length:
        size = min(length - len(data), PIECE_BYTES)
        held.add(size)
        piece = environ['wsgi.input'].read(size)
        if len(piece) < size:
            raise BadRequestError(
                'The request body is shorter than its Content-Length.',
                remedy='Send the complete body.',
            )
        data += piece
    return bytes(data)


def _content_length(environ: Mapping[str, Any]) -> int | None:
    text = environ.get('CONTENT_LENGTH') or ''
    if 'chunked' in environ.get('HTTP_TRANSFER_ENCODING', '').lower():
        return None
    if not text:
        return 0
    if not text.isdecimal():
        raise BadRequestError(
            'Content-Length is not a number.',
            remedy='Send the length of the body in bytes.',
        )
    return int(text)


def _read_chunked(
    environ: Mapping[str, Any], max_body_bytes: int, held: HeldBody
) -> bytes:
    data = bytearray()
    while chunk := environ['wsgi.input'].read(READ_SIZE_BYTES):
        held.add(len(chunk))
        data += chunk
        if len(data) > max_body_bytes:
            raise TooLargeError(
                'The request body is too long.',
                remedy=f'Send at most {max_body_bytes} bytes.',
            )
    return bytes(data)
