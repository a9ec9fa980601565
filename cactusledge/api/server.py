"""HTTP server of the caller API."""

import threading
from typing import NamedTuple

from cactusledge.api.app import ApiApp
from cactusledge.api.bounded_server import BoundedServer
from cactusledge.models import Address

SERVER_NAME = 'cactusledge'
BACKLOG = 128
JOIN_MARGIN_S = 1.0  # lets the server's own threads end


class ServerLimits(NamedTuple):
    """Limits that keep a slow or large request from affecting others."""

    worker_threads: int
    max_connections: int
    max_body_bytes: int
    max_header_bytes: int
    socket_timeout_s: float
    shutdown_timeout_s: float  # for requests in progress


class ApiServer:
    """Serves an `ApiApp` with cheroot in background threads."""

    def __init__(
        self,
        address: Address,
        app: ApiApp,
        limits: ServerLimits,
    ) -> None:
        """Configures the server; `start` binds the port."""
        self._server = BoundedServer(
            tuple(address),
            app,
            numthreads=limits.worker_threads,
            server_name=SERVER_NAME,
            request_queue_size=BACKLOG,
            timeout=round(limits.socket_timeout_s),
            shutdown_timeout=round(limits.shutdown_timeout_s),
        )
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.keep_alive_conn_limit = limits.max_connections
        self._server.max_waiting = limits.max_connections
        self._thread = threading.Thread(
            target=self._server.serve,
            name='api-server',
            daemon=True,
        )

    @property
    def port(self) -> int:
        """The bound TCP port; valid after `start`."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Binds the port and starts serving."""
        self._server.prepare()
        self._thread.start()

    def stop(self, timeout_s: float | None = None) -> None:
        """Waits for the requests in progress, then releases the port.

        Args:
            timeout_s: Longest wait for these requests; defaults to
                `ServerLimits.shutdown_timeout_s`. A request that takes
                longer is left running in its thread.
        """
        if timeout_s is not None:
            self._server.shutdown_timeout = timeout_s
        # cheroot waits without a time limit for a worker whose request hangs.
        stop_thread = threading.Thread(target=self._server.stop, daemon=True)
        stop_thread.start()
        stop_thread.join(self._server.shutdown_timeout + JOIN_MARGIN_S)
