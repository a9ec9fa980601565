"""Validates requests to open programs and builds their first records."""

from collections.abc import Iterable

from cactusledge.programs.errors import NotAllowedError, TooManyProgramsError
from cactusledge.programs.messages import Open
from cactusledge.programs.views import OpenArgs
from cactusledge.protocol.records import Opened
from cactusledge.protocol.state import ProgramState
from cactusledge.settings.configuration import Configuration, Program

PROGRAM_LIMIT_RETRY_S = 10.0
NO_PREV_DIGEST = b''  # of a program's first record


def check_opening(
    args: OpenArgs,
    config: Configuration,
    states: Iterable[ProgramState],
) -> Program:
    """Returns the definition if the account may open a program of it.

    Raises:
        UnknownNameError: The definition or the account is not published.
        NotAllowedError: The account may not open this program.
        TooManyProgramsError: The account is at its limit of programs.
    """
    program = config.program(args.definition)
    account = config.account(args.account)
    if args.definition not in account.programs:
        raise NotAllowedError(
            f'{args.account!r} may not open {args.definition!r}.',
            remedy='Add it to the programs of the account and publish.',
        )
    active = sum(
        state.account == args.account and not state.ended for state in states
    )
    if active >= account.max_programs:
        raise TooManyProgramsError(
            f'{args.account!r} has {active} active programs.',
            remedy='End some of them, or try again later.',
            retry_after_s=PROGRAM_LIMIT_RETRY_S,
        )
    return program


def opened_record(message: Open, program: Program, now_s: float) -> Opened:
    """Returns the first record of a program."""
    args = message.args
    budget = min(args.budget or program.budget, program.budget)
    return Opened(
        program_id=message.program_id,
        seq=0,
        prev=NO_PREV_DIGEST,
        account=args.account,
        definition=args.definition,
        budget=budget,
        parent=args.parent,
        opened_at_s=now_s,
        time_limit_s=program.time_limit_s,
        turn_limit=program.turn_limit,
        idle_limit_s=program.idle_limit_s,
    )
