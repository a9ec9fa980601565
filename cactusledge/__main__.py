"""Entry point of the `cactusledge` program."""

import os
import sys
from typing import NoReturn

from cactusledge.core import main as run
from cactusledge.environment import process_environment


def main() -> None:
    """Runs the command line of this process."""
    leave(run(sys.argv[1:], process_environment()))


def leave(status: int) -> NoReturn:
    """Ends the process.

    A command has stopped what it owns when it returns. Threads that still
    wait, for a peer that is gone or for an engine, must not keep the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == '__main__':
    main()
