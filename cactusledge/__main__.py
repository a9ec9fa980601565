"""Entry point of the `cactusledge` program."""

import os
import sys
from typing import NoReturn

from cactusledge.core import main as run
from cactusledge.environment import process_environment


def main() -> None:
    """Runs the command given on the command line, then exits."""
    leave(run(sys.argv[1:], process_environment()))


def leave(status: int) -> NoReturn:
    """Ends the process without waiting for its threads.

    A command has released its resources when it returns. Threads still blocked
    on an unreachable peer or on an engine must not keep the process alive.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == '__main__':
    main()
