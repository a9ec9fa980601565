"""HTTP client of the status API of instances."""

from typing import Any

import msgspec
import urllib3

from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.models import Address

HTTP_OK = 200


class InstanceUnreachableError(CactusledgeError):
    """An instance could not be reached or gave no valid answer."""

    code = ErrorCode.PEER_UNREACHABLE


def fetch_json(address: Address, path: str, timeout_s: float) -> Any:
    """Fetches a JSON document from an instance."""
    try:
        answer = urllib3.request(
            'GET', f'http://{address}{path}', timeout=timeout_s, retries=False
        )
        if answer.status == HTTP_OK:
            return msgspec.json.decode(answer.data)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        raise _unreachable(address, str(exc)) from exc
    raise _unreachable(address, f'it answered with status {answer.status}')


def _unreachable(address: Address, reason: str) -> InstanceUnreachableError:
    return InstanceUnreachableError(
        f'The instance at {address} returned no status: {reason}.',
        remedy='Check that it runs and can be reached from here.',
    )
