"""What the stand-ins' command lines have in common."""

import argparse
import json
import signal
import threading
from pathlib import Path
from typing import Protocol

DEFAULT_THREADS = 64


class Runnable(Protocol):
    """A stand-in that a command line runs."""

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """Stops serving."""


def common_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser of the options that every stand-in has."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--listen', type=parse_address, required=True)
    parser.add_argument('--port-file', type=Path)
    parser.add_argument('--name', required=True)
    parser.add_argument('--data-centre', default='')
    parser.add_argument('--register', default='', metavar='HOST:PORT')
    parser.add_argument('--threads', type=int, default=DEFAULT_THREADS)
    return parser


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of `host:port`."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def run_until_signal(standin: Runnable, port_file: Path | None) -> None:
    """Runs a stand-in until SIGTERM or SIGINT."""
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    standin.start()
    if port_file is not None:
        _write_whole(port_file, json.dumps({'port': standin.port}))
    stopped.wait()
    standin.stop()


def _write_whole(path: Path, text: str) -> None:
    partial = path.with_suffix('.partial')
    partial.write_text(text)
    partial.replace(path)
