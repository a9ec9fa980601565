"""Runs a record store behind a link: it listens one port above the told one.

Run it as `python -m tests.soak_processes.store`.
"""

import os

from cactusledge.platform.process import main
from cactusledge.records.message_server import MessageServer

start = MessageServer.start


async def start_behind_link(server, address):
    """Listens where the link forwards to."""
    await start(server, address._replace(port=address.port + 1))


if __name__ == '__main__':
    MessageServer.start = start_behind_link
    os._exit(main('store'))
