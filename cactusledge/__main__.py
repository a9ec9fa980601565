"""Entry point of the `cactusledge` program."""

import sys

from cactusledge.core import main as run
from cactusledge.environment import process_environment


def main() -> None:
    """Runs the command line of this process."""
    sys.exit(run(sys.argv[1:], process_environment()))


if __name__ == '__main__':
    main()
