"""Creates the typed error for each way in which a request can fail."""

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError, ReadTimeoutError

from cactusledge.endpoints.errors import (
    EndpointDeadlineError,
    EndpointFailedError,
    EndpointNotRunError,
    EndpointRefusedError,
    EndpointSilentError,
)
from cactusledge.models import Endpoint

NOT_RUN_HEADER = 'X-Not-Run'
LEAVING_HEADER = 'X-Leaving'


def header_is_true(response: BaseHTTPResponse, header: str) -> bool:
    """Returns whether a response header has the value `true`."""
    return response.headers.get(header, '').lower() == 'true'


def connection_error(endpoint: Endpoint) -> EndpointRefusedError:
    """Returns the error for a request that got no connection."""
    return EndpointRefusedError(
        f'{endpoint.name} at {endpoint.address} takes no connection.',
        remedy='Send the call to another replica.',
        endpoint=endpoint.name,
    )


def not_sent_in_time_error(endpoint: Endpoint) -> EndpointRefusedError:
    """Returns the error for a request not sent before its deadline."""
    return EndpointRefusedError(
        f'The deadline passed before the call to {endpoint.name} was sent.',
        remedy='Allow the call more time.',
        endpoint=endpoint.name,
    )


def invalid_header_error(
    endpoint: Endpoint, header: str
) -> EndpointRefusedError:
    """Returns the error for a header value that HTTP does not allow."""
    return EndpointRefusedError(
        f'The header {header} of a call to {endpoint.name} was not sent.',
        remedy='Use printable ASCII characters in keys and ids.',
        endpoint=endpoint.name,
    )


def not_run_error(
    endpoint: Endpoint,
    response: BaseHTTPResponse,
) -> EndpointNotRunError:
    """Returns the error for a request that the endpoint did not run."""
    exc = EndpointNotRunError(
        f'{endpoint.name} answered that it did not run the call.',
        remedy='Send it to another replica, or later.',
        endpoint=endpoint.name,
        status=response.status,
        retry_after_s=_retry_after(response),
    )
    exc.leaving = header_is_true(response, LEAVING_HEADER)
    return exc


def server_error(
    endpoint: Endpoint,
    response: BaseHTTPResponse,
) -> EndpointFailedError:
    """Returns the error for an answer with a status of 500 or higher."""
    return EndpointFailedError(
        f'{endpoint.name} answered with status {response.status}.',
        remedy='Query its state before a repeat; see its own log.',
        endpoint=endpoint.name,
        status=response.status,
        retry_after_s=_retry_after(response),
    )


def too_large_error(
    endpoint: Endpoint, limit_bytes: int
) -> EndpointFailedError:
    """Returns the error for an answer that exceeds the size limit."""
    return EndpointFailedError(
        f'{endpoint.name} answered with more than {limit_bytes} bytes.',
        remedy='Make the endpoint answer in parts.',
        endpoint=endpoint.name,
    )


def deadline_error(endpoint: Endpoint) -> EndpointDeadlineError:
    """Returns the error for an answer that is incomplete at the deadline."""
    return EndpointDeadlineError(
        f'The deadline passed before {endpoint.name} had answered.',
        remedy='Allow the call more time; query its state before a repeat.',
        endpoint=endpoint.name,
    )


def connection_lost_error(
    endpoint: Endpoint, exc: HTTPError
) -> EndpointFailedError:
    """Returns the error for an answer whose connection failed."""
    if isinstance(exc, ReadTimeoutError):
        return EndpointSilentError(
            f'{endpoint.name} sent nothing for longer than the limit.',
            remedy='Query its state before a repeat.',
            endpoint=endpoint.name,
        )
    return EndpointFailedError(
        f'The connection to {endpoint.name} broke before the whole answer.',
        remedy='Query its state before a repeat.',
        endpoint=endpoint.name,
    )


def _retry_after(response: BaseHTTPResponse) -> float | None:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isdecimal() else None
