"""Bytes that instances exchange on their peer ports, as the kernel counts."""

import re
import subprocess
from collections.abc import Iterable

COUNTED = re.compile(r'bytes_(?:sent|received):(\d+)')


def peer_bytes(ports: Iterable[int]) -> int:
    """Returns the bytes, both ways, of open connections to these ports.

    Each byte between two instances is counted once, at the listening end.
    """
    wanted = ' or '.join(f'sport = :{port}' for port in ports)
    done = subprocess.run(
        ('ss', '--tcp', '--info', '--numeric', '--no-header', wanted),
        capture_output=True,
        check=True,
        text=True,
    )
    return sum(map(int, COUNTED.findall(done.stdout)))
