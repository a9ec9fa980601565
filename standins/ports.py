"""Free TCP ports of loopback for processes that are about to start."""

import random
import socket

LOOPBACK = '127.0.0.1'
# Below the ports that the kernel gives to outgoing connections, so that none
# of them takes the port before the process listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000
ATTEMPTS = 100

_random = random.SystemRandom()


def free_port() -> int:
    """Returns a port that nothing listens on; raises OSError."""
    for _ in range(ATTEMPTS):
        port = _random.randint(FIRST_PORT, LAST_PORT)
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
