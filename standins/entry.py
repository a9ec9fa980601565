"""An entry instance whose peers reach it through a proxy.

Run it as `python -m standins.entry HOST:PORT entry --settings FILE`: its peer
service listens there, while the peers are told the address in the settings.
"""

import sys
from functools import partial
from typing import Any

from cactusledge.__main__ import leave
from cactusledge.assembly import peers as assembly
from cactusledge.core import main as run
from cactusledge.environment import process_environment
from cactusledge.models import Address
from cactusledge.peers.server import PeerServer


def main() -> None:
    """Runs the command line behind the first argument."""
    host, _, port = sys.argv[1].rpartition(':')
    listen = Address(host, int(port))
    server = partial(behind_proxy, listen)
    assembly.PeerServer = server  # type: ignore[attr-defined, assignment]
    leave(run(sys.argv[2:], process_environment()))


def behind_proxy(listen: Address, _told: Address, *args: Any) -> PeerServer:
    """Returns a server on another address than the peers are told."""
    return PeerServer(listen, *args)


if __name__ == '__main__':
    main()
