"""Exit statuses of the `cactusledge` command."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    REFUSED = 6
    UNKNOWN_OUTCOME = 7
