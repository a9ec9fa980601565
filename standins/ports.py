"""Free TCP ports of loopback for processes that are about to start."""

import itertools
import random
import socket
from collections.abc import Iterator

LOOPBACK = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections, so that none
# of them takes the port before the process listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000
ATTEMPTS = 100


def _ports_in_turn() -> Iterator[int]:
    """Yields all ports again and again, from a random one on.

    So two processes hardly ever come to the same port within the time in which
    one of them starts to listen on it.
    """
    ports = range(FIRST_PORT, LAST_PORT + 1)
    skipped = random.SystemRandom().randrange(len(ports))
    return itertools.islice(itertools.cycle(ports), skipped, None)


_ports = _ports_in_turn()


def free_port() -> int:
    """Returns a port that nothing listens on; raises OSError."""
    for port in itertools.islice(_ports, ATTEMPTS):
        if _is_free(port):
            return port
    raise OSError(f'No free port in {ATTEMPTS} attempts.')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
