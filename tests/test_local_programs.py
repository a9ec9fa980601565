"""Local programs: a former owner must not answer from stale state."""

import pykka
import pytest

from cactusledge.programs.errors import NoDriverError, no_such_program_error
from cactusledge.programs.journal.durability import CommitWait
from cactusledge.programs.local_programs import LocalPrograms
from cactusledge.programs.logs.owned import LogTable, OwnedLog
from cactusledge.protocol.errors import FencedError

PROGRAM_ID = 'bole-0.ab'
READS = (
    lambda programs: programs.view('a', PROGRAM_ID),
    lambda programs: programs.history('a', PROGRAM_ID),
    lambda programs: programs.view_any_account(PROGRAM_ID),
)


class FakeDriver:
    """Replies with a fixed state, even when the log has a new owner."""

    def __init__(self, reply):
        self.reply = reply

    def ask(self, message, timeout):
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


def programs_with(reply, sealed_by_another):
    def confirm():
        future = pykka.ThreadingFuture()
        if sealed_by_another:
            exc = FencedError('Sealed.', remedy='Ask its owner.')
            future.set_exception((FencedError, exc, None))
        else:
            future.set(None)
        return future

    table = LogTable()
    table.put(
        OwnedLog(
            'bole-0',
            FakeDriver(reply),
            close=bool,
            is_lost=bool,
            probe=bool,
            confirm=confirm,
        ),
    )
    return LocalPrograms(table, CommitWait(lambda: True, lambda: True))


@pytest.mark.parametrize('read', READS)
@pytest.mark.parametrize('reply', ['state', no_such_program_error(PROGRAM_ID)])
def test_former_owner_never_answers_from_stale_state(read, reply):
    with pytest.raises(NoDriverError):
        read(programs_with(reply, sealed_by_another=True))


@pytest.mark.parametrize('read', READS[:2])
def test_owner_returns_its_state(read):
    assert read(programs_with('state', sealed_by_another=False)) == 'state'


def test_owner_reports_missing_program():
    error = no_such_program_error(PROGRAM_ID)
    programs = programs_with(error, sealed_by_another=False)
    with pytest.raises(type(error)):
        programs.view('a', PROGRAM_ID)
