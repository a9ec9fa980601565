"""Runs one command and maps its errors to exit statuses."""

import traceback
from collections.abc import Mapping, Sequence
from contextlib import redirect_stderr, redirect_stdout
from types import MappingProxyType

from cactusledge.cli.app import app
from cactusledge.environment import PROGRAM_NAME, Environment
from cactusledge.errors import CactusledgeError, ErrorCode
from cactusledge.settings.errors import InvalidFileError
from cactusledge.status import ExitStatus

EXIT_STATUSES: Mapping[ErrorCode, ExitStatus] = MappingProxyType({
    ErrorCode.BAD_REQUEST: ExitStatus.USAGE,
    ErrorCode.INVALID_SETTINGS: ExitStatus.INVALID,
    ErrorCode.INVALID_DEFINITION: ExitStatus.INVALID,
    ErrorCode.PUBLISH_CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.STORE_CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.STORE_UNAVAILABLE: ExitStatus.UNAVAILABLE,
    ErrorCode.PEER_UNREACHABLE: ExitStatus.UNAVAILABLE,
    ErrorCode.STORE_ANSWER_LOST: ExitStatus.UNKNOWN_OUTCOME,
    ErrorCode.OUTCOME_UNKNOWN: ExitStatus.UNKNOWN_OUTCOME,
    ErrorCode.UNAUTHORIZED: ExitStatus.REFUSED,
    ErrorCode.FORBIDDEN: ExitStatus.REFUSED,
    ErrorCode.OVERLOADED: ExitStatus.REFUSED,
    ErrorCode.STOPPING: ExitStatus.REFUSED,
    ErrorCode.BUDGET_EXCEEDED: ExitStatus.REFUSED,
    ErrorCode.TURN_LIMIT: ExitStatus.REFUSED,
    ErrorCode.TIME_LIMIT: ExitStatus.REFUSED,
    ErrorCode.PROGRAM_ENDED: ExitStatus.REFUSED,
    ErrorCode.SEQUENCE_GAP: ExitStatus.REFUSED,
    ErrorCode.SEQUENCE_CONFLICT: ExitStatus.REFUSED,
})
INTERNAL_REMEDY = 'Report this error with the traceback above.'


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the command that `args` name and returns its exit status."""
    with redirect_stdout(env.stdout), redirect_stderr(env.stderr):
        try:
            app(list(args), prog_name=PROGRAM_NAME, obj=env)
        except SystemExit as exc:
            return _exit_status(exc.code)
        except CactusledgeError as exc:
            _report(exc, env)
            return EXIT_STATUSES.get(exc.code, ExitStatus.ERROR)
        except Exception as exc:
            traceback.print_exc(file=env.stderr)
            _write(env, f'{ErrorCode.INTERNAL}: {exc} {INTERNAL_REMEDY}')
            return ExitStatus.ERROR
    return ExitStatus.OK


def _exit_status(code: object) -> ExitStatus:
    if code is None:
        return ExitStatus.OK
    known = [status.value for status in ExitStatus]
    return ExitStatus(code) if code in known else ExitStatus.ERROR


def _report(exc: CactusledgeError, env: Environment) -> None:
    """Writes a `code: message remedy` line for each problem."""
    if isinstance(exc, InvalidFileError):
        for problem in exc.problems:
            _write(env, f'{exc.code}: {problem}')
    else:
        _write(env, f'{exc.code}: {exc.message} {exc.remedy}')


def _write(env: Environment, line: str) -> None:
    env.stderr.write(f'{line}\n')
