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
        f'No connection to {endpoint.name} at {endpoint.address}.',
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
        f'Call to {endpoint.name} not sent: invalid value in header {header}.',
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
        remedy='Send the call to another replica, or retry later.',
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
        remedy='Query the call state before a retry; see the endpoint log.',
        endpoint=endpoint.name,
        status=response.status,
        retry_after_s=_retry_after(response),
    )


def not_json_error(
    endpoint: Endpoint,
    response: BaseHTTPResponse,
) -> EndpointFailedError:
    """Returns the error for an answer that cannot be parsed."""
    return EndpointFailedError(
        f'The answer of {endpoint.name} is not a JSON document.',
        remedy='Check that the endpoint is of its configured kind.',
        endpoint=endpoint.name,
        status=response.status,
    )


def unframed_number_error(
    endpoint: Endpoint,
    response: BaseHTTPResponse,
) -> EndpointFailedError:
    """Returns the error for a number that may have been cut short."""
    return EndpointFailedError(
        f'{endpoint.name} answered with a number of unknown length.',
        remedy='Send a Content-Length, or put the number into an object.',
        endpoint=endpoint.name,
        status=response.status,
    )


def too_large_error(
    endpoint: Endpoint, limit_bytes: int
) -> EndpointFailedError:
    """Returns the error for an answer that exceeds the size limit."""
    return EndpointFailedError(
        f'{endpoint.name} answered with more than {limit_bytes} bytes.',
        remedy='Change the endpoint to answer in smaller parts.',
        endpoint=endpoint.name,
    )


def deadline_error(endpoint: Endpoint) -> EndpointDeadlineError:
    """Returns the error for an answer that is incomplete at the deadline."""
    return EndpointDeadlineError(
        f'The deadline passed before {endpoint.name} answered completely.',
        remedy='Allow the call more time; query its state before a retry.',
        endpoint=endpoint.name,
    )


def connection_lost_error(
    endpoint: Endpoint, exc: HTTPError
) -> EndpointFailedError:
    """Returns the error for an answer whose connection failed."""
    if isinstance(exc, ReadTimeoutError):
        return EndpointSilentError(
            f'{endpoint.name} sent no data within the read timeout.',
            remedy='Query the call state before a retry.',
            endpoint=endpoint.name,
        )
    return EndpointFailedError(
        f'The connection to {endpoint.name} broke before the answer ended.',
        remedy='Query the call state before a retry.',
        endpoint=endpoint.name,
    )


def _retry_after(response: BaseHTTPResponse) -> float | None:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isdecimal() else None
