"""Registration of a stand-in in the platform's list of instances."""

import json
import secrets
import threading
from typing import Any, NamedTuple

import urllib3

PATH = '/apis/cactusledge/v1/instances'
HTTP_OK = 200
HTTP_CREATED = 201
RETRY_S = 0.5
REQUEST_LIMIT_S = 2


class Registration(NamedTuple):
    """The entry of one replica in the platform's list."""

    name: str
    kind: str  # model, service
    service: str
    address: str
    data_centre: str
    incarnation: str
    leaving: bool = False

    def spec(self) -> dict[str, Any]:
        """Returns the entry's `spec`."""
        fields = self._asdict()
        fields.pop('name')
        return {'role': 'endpoint', **fields}


class Registrar:
    """Writes a registration until the platform has taken it."""

    def __init__(self, platform: str) -> None:
        """Keeps the platform's `host:port`."""
        self._base = f'http://{platform}{PATH}'
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=REQUEST_LIMIT_S,
        )
        self._stopped = threading.Event()

    def publish(self, entry: Registration) -> None:
        """Writes the entry in a thread of its own, with retries."""
        threading.Thread(
            target=self._publish,
            args=(entry,),
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Ends the retries."""
        self._stopped.set()

    def write(self, entry: Registration) -> bool:
        """Creates or updates the entry once; returns whether it is written."""
        try:
            return self._create(entry) or self._update(entry)
        except urllib3.exceptions.HTTPError:
            return False

    def _publish(self, entry: Registration) -> None:
        while not (self._stopped.is_set() or self.write(entry)):
            self._stopped.wait(RETRY_S)

    def _create(self, entry: Registration) -> bool:
        metadata = {'name': entry.name}
        status, _ = self._send('POST', self._base, entry, metadata)
        return status in {HTTP_OK, HTTP_CREATED}

    def _update(self, entry: Registration) -> bool:
        url = f'{self._base}/{entry.name}'
        found = self._http.request('GET', url)
        if found.status != HTTP_OK:
            return False
        metadata = found.json()['metadata']
        status, _ = self._send('PUT', url, entry, metadata)
        return status == HTTP_OK

    def _send(
        self,
        method: str,
        url: str,
        entry: Registration,
        metadata: Any,
    ) -> tuple[int, bytes]:
        document = {
            'kind': 'instances',
            'metadata': metadata,
            'spec': entry.spec(),
        }
        answer = self._http.request(
            method,
            url,
            body=json.dumps(document).encode(),
            headers={'Content-Type': 'application/json'},
        )
        return answer.status, answer.data


def new_incarnation() -> str:
    """Returns a fresh incarnation name."""
    return secrets.token_hex(8)
