"""The platform's object API as a small server for tests.

Run it as `python -m standins.platform --listen 127.0.0.1:0`; the first line
that it prints is a JSON object with its ports.
"""

import argparse
import json
import signal
import threading
from pathlib import Path
from typing import Any, Self

from cheroot import wsgi

from cactusledge.models import Address
from cactusledge.objects.client import HttpObjectStore
from standins.platform_app import CONNECTION_KEY, PlatformApp
from standins.platform_faults import FaultSettings
from standins.platform_limits import Limits
from standins.ports import LOOPBACK, free_port

SERVER_THREADS = 64  # a watch or a hanging request holds one
CONTROL_THREADS = 2
BACKLOG = 128  # connections that the kernel keeps until they are accepted
STOP_TIMEOUT_S = 1
SELECT_TIMEOUT_S = 0.05  # how soon a stop is noticed


class ConnectionGateway(wsgi.Gateway_10):
    """Passes the connection's socket on, so that faults can close it."""

    def get_environ(self) -> Any:
        """Returns the WSGI environment with the socket."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


class HttpListener:
    """A cheroot server on one port that can close and reopen it."""

    def __init__(self, address: Address, app: Any, threads: int) -> None:
        """Keeps the address; listens after `start`."""
        self._address = address
        self._app = app
        self._threads = threads
        self._server: wsgi.Server | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listens and serves in a thread."""
        server = wsgi.Server(
            tuple(self._address),
            self._app,
            numthreads=self._threads,
            request_queue_size=BACKLOG,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        server.gateway = ConnectionGateway
        server.expiration_interval = SELECT_TIMEOUT_S
        server.prepare()
        self._server = server
        self._thread = threading.Thread(target=server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Closes the port and the open connections."""
        if self._server is None or self._thread is None:
            return
        self._server.stop()
        self._thread.join()
        self._server = None


class PlatformStandin:
    """The stand-in with its port and, for outages, a control port."""

    def __init__(
        self,
        port: int = 0,
        control_port: int = 0,
        limits: Limits | None = None,
    ) -> None:
        """Chooses the ports; listens after `start`."""
        self.port = port or free_port()
        self.control_port = control_port or free_port()
        self.app = PlatformApp(limits or Limits())
        self._api = HttpListener(self.address, self.app, SERVER_THREADS)
        control = Address(LOOPBACK, self.control_port)
        self._control = HttpListener(
            control,
            self._serve_control,
            CONTROL_THREADS,
        )
        self._lock = threading.Lock()
        self._refusing = False

    @property
    def address(self) -> Address:
        """The address of the object API."""
        return Address(LOOPBACK, self.port)

    def start(self) -> Self:
        """Opens both ports and returns the stand-in."""
        self._api.start()
        self._control.start()
        return self

    def stop(self) -> None:
        """Closes both ports and ends all watches."""
        self.app.stopping.set()
        self._api.stop()
        self._control.stop()

    def __enter__(self) -> Self:
        """Starts the stand-in."""
        return self.start()

    def __exit__(self, *exc_info: object) -> None:
        """Stops the stand-in."""
        self.stop()

    def store(self, **options: Any) -> HttpObjectStore:
        """Returns a client of this stand-in."""
        return HttpObjectStore([self.address], **options)

    def set_faults(self, **settings: Any) -> None:
        """Sets the given switches and resets all others."""
        self.app.set_faults(json.dumps(settings).encode())
        self._apply_refusal(self.app.faults.settings)

    def records(self) -> dict[str, Any]:
        """Returns the counters of requests."""
        return self.app.counters.records()

    def _serve_control(self, environ: Any, start_response: Any) -> Any:
        body = self.app(environ, start_response)
        self._apply_refusal(self.app.faults.settings)
        return body

    def _apply_refusal(self, settings: FaultSettings) -> None:
        refuse = settings.get('down') == 'refuse'
        with self._lock:
            if refuse == self._refusing:
                return
            self._refusing = refuse
            if refuse:
                self._close_api()
            else:
                self._api.start()

    def _close_api(self) -> None:
        self.app.stopping.set()
        self._api.stop()
        self.app.stopping.clear()


def parse_arguments() -> argparse.Namespace:
    """Returns the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', default=f'{LOOPBACK}:0')
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--port-file', type=Path)
    parser.add_argument('--reads-per-s', type=float, default=0)
    parser.add_argument('--writes-per-s', type=float, default=0)
    return parser.parse_args()


def main() -> None:
    """Serves until SIGTERM or SIGINT."""
    options = parse_arguments()
    standin = PlatformStandin(
        int(options.listen.rpartition(':')[2]),
        options.control_port,
        Limits(
            reads_per_s=options.reads_per_s,
            writes_per_s=options.writes_per_s,
        ),
    ).start()
    ports = {'port': standin.port, 'control_port': standin.control_port}
    line = json.dumps(ports)
    print(line, flush=True)  # noqa: WPS421 - the caller reads the port here
    if options.port_file:
        options.port_file.write_text(f'{line}\n')
    signal.sigwait({signal.SIGTERM, signal.SIGINT})
    standin.stop()


if __name__ == '__main__':
    main()
