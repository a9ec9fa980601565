"""Names of logs and programs.

A program's id starts with the name of its log, and a log's name starts with
the name of its data centre, so any instance can derive a program's home data
centre from its id: `addis-bole-2.5f1c09ab`.
"""

import hashlib
import re

from cactusledge.errors import CactusledgeError, ErrorCode

TOKEN_BYTES = 10
HEXADECIMAL = 16
PROGRAM_ID = re.compile(
    r'(?P<log>[a-z0-9][a-z0-9-]*-\d+)\.(?P<token>[0-9a-f]+)'
)


class InvalidProgramIdError(CactusledgeError):
    """The text is not a valid program id."""

    code = ErrorCode.NOT_FOUND


def log_names(data_centre: str, count: int) -> tuple[str, ...]:
    """Returns the names of a data centre's logs."""
    return tuple(f'{data_centre}-{index}' for index in range(count))


def new_program_id(
    data_centre: str,
    logs: int,
    account: str,
    key: str,
) -> str:
    """Returns the program id for an open request with this key.

    The same account and key always give the same id, so that a repeated
    open request finds the program that the first one opened.
    """
    token = _digest(account, key)
    index = int(token, HEXADECIMAL) % logs
    return f'{data_centre}-{index}.{token}'


def child_program_id(parent: str, account: str, key: str) -> str:
    """Returns the id of a sub-agent's program, in its parent's log."""
    return f'{log_of(parent)}.{_digest(account, parent, key)}'


def log_of(program_id: str) -> str:
    """Returns the log that holds a program's records."""
    match = PROGRAM_ID.fullmatch(program_id)
    if match is None:
        raise InvalidProgramIdError(
            f'{program_id!r} is not a program id.',
            remedy='Use the program_id that the open request returned.',
        )
    return match.group('log')


def data_centre_of(log: str) -> str:
    """Returns the home data centre of a log."""
    return log.rpartition('-')[0]


def _digest(*parts: str) -> str:
    text = '\0'.join(parts)
    digest = hashlib.blake2b(text.encode(), digest_size=TOKEN_BYTES)
    return digest.hexdigest()
