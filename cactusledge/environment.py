"""What a command uses of its process: streams, clock and connections."""

import os
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from importlib import import_module
from typing import TYPE_CHECKING, Any, NamedTuple, TextIO

from cactusledge.models import Address

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

PROGRAM_NAME = 'cactusledge'

OpenStore = Callable[[Sequence[Address], float], 'ObjectStore']
FetchJson = Callable[[Address, str, float], Any]


def open_http_store(
    addresses: Sequence[Address], timeout_s: float
) -> 'ObjectStore':
    """Returns a client of the platform's object API."""
    client = import_module('cactusledge.objects.client')
    store: ObjectStore = client.HttpObjectStore(tuple(addresses), timeout_s)
    return store


def fetch_json(address: Address, path: str, timeout_s: float) -> Any:
    """Returns the JSON document with which an instance answers a GET."""
    status_client = import_module('cactusledge.cli.status_client')
    return status_client.fetch_json(address, path, timeout_s)


class Environment(NamedTuple):
    """Streams, variables, clock and connections that one command uses.

    Tests replace them.
    """

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    environ: Mapping[str, str]
    now: Callable[[], float] = time.time
    sleep: Callable[[float], None] = time.sleep
    open_store: OpenStore = open_http_store
    fetch_json: FetchJson = fetch_json


def process_environment() -> Environment:
    """Returns the environment of this process."""
    return Environment(sys.stdin, sys.stdout, sys.stderr, os.environ)
