"""Errors of settings, definition files and publishing."""

from collections.abc import Iterable
from difflib import get_close_matches
from typing import NamedTuple

from cactusledge.errors import CactusledgeError, ErrorCode

MAX_LISTED_NAMES = 6


class Problem(NamedTuple):
    """One error in a file or environment variable, and how to correct it."""

    place: str  # 'path:line' or the name of an environment variable
    message: str
    remedy: str

    def __str__(self) -> str:
        """Returns place, message and remedy on one line."""
        return f'{self.place}: {self.message} {self.remedy}'


class InvalidFileError(CactusledgeError):
    """An operator's file is not valid; `problems` holds every error found."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Describes the first problem in full and counts the others."""
        first = problems[0]
        others = len(problems) - 1
        more = f' ({others} more problems follow.)' if others else ''
        super().__init__(
            f'{first.place}: {first.message}{more}',
            remedy=first.remedy,
        )
        self.problems = problems


class InvalidSettingsError(InvalidFileError):
    """The settings of an instance are not valid."""

    code = ErrorCode.INVALID_SETTINGS


class InvalidDefinitionError(InvalidFileError):
    """The definition files are not valid."""

    code = ErrorCode.INVALID_DEFINITION


class PublishConflictError(CactusledgeError):
    """Another operator published a configuration in the meantime."""

    code = ErrorCode.PUBLISH_CONFLICT


class UnknownNameError(CactusledgeError):
    """The active configuration does not define the requested name."""

    code = ErrorCode.NOT_FOUND


def nearest_name(name: str, known: Iterable[str]) -> str:
    """Returns a remedy that names the valid name closest to `name`."""
    names = sorted(known)
    close = get_close_matches(name, names, n=1)
    if close:
        return f"Did you mean '{close[0]}'?"
    if not names:
        return 'No name is valid here; remove it.'
    listed = ', '.join(names[:MAX_LISTED_NAMES])
    more = ', ...' if len(names) > MAX_LISTED_NAMES else ''
    return f'Valid names: {listed}{more}.'
