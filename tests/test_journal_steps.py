"""State machine of the journal writer, ring and log index."""

import pytest

from cactusledge.models import Outcome
from cactusledge.protocol import calls, journal, ring
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import (
    CorruptRecordError,
    HistoryError,
    JournalFullError,
    RefusedCallError,
)
from cactusledge.protocol.log_index import (
    LogIndex,
    Retention,
    check_size,
    rebuild,
)
from cactusledge.protocol.program import apply, apply_all

SIZE = 3
SLOTS = tuple(
    ring.Slot(number, f'old#{number}', 'old', b'', f'v{number}', SIZE)
    for number in (3, 4, 2)
)
Phase = journal.Phase


@pytest.fixture
def idle():
    return journal.start('log', 'me', ring.assemble(SLOTS))


@pytest.fixture
def writing(idle):
    return journal.step(idle, msg.Append(b'data', 3))[0]


def run(state, *events):
    effects = ()
    for event in events:
        state, effects = journal.step(state, event)
    return state, effects


def slot(number, nonce, owner='me', version='v9'):
    return ring.Slot(number, nonce, owner, b'', version, SIZE)


LOST = msg.AnswerLost('me#0')
UNCHANGED = msg.ReadBack(5, slot(2, 'x', 'old'))
TAKEN_OVER = msg.ReadBack(5, slot(5, 'you#0', 'you'))
MINE_FOUND = msg.ReadBack(5, slot(5, 'me#0'))
GIVE_UP = msg.GiveUp(b'void')


def test_append_names_the_version_that_it_overwrites(idle):
    assert idle.number == 5
    _, effects = journal.step(idle, msg.Append(b'data', 3))
    assert effects == (msg.WriteSlot(2, 5, 'me#0', b'data', 'v2'),)


STEPS = (
    ([msg.Written('me#0', 'v9')], Phase.IDLE, msg.Committed(5, False)),
    ([LOST], Phase.READING, msg.ReadSlot(2, 5)),
    ([msg.Conflicted('me#0')], Phase.READING, msg.ReadSlot(2, 5)),
    ([msg.Unavailable('me#0')], Phase.WAIT_TO_WRITE, msg.BackOff()),
    (
        [LOST, MINE_FOUND],
        Phase.IDLE,
        msg.Committed(5, False),
    ),
    (
        [LOST, UNCHANGED],
        Phase.WAIT_TO_WRITE,
        msg.BackOff(),
    ),
    (
        [LOST, UNCHANGED, msg.RetryDue()],
        Phase.WRITING,
        msg.WriteSlot(2, 5, 'me#0', b'data', 'v9'),
    ),
    (
        [LOST, TAKEN_OVER],
        Phase.FENCED,
        msg.Fenced('you'),
    ),
    (
        [LOST, msg.ReadBack(5, slot(8, 'you#3', 'you'))],
        Phase.FENCED,
        msg.Fenced('you'),
    ),
    ([LOST, msg.ReadFailed(5)], Phase.WAIT_TO_READ, msg.BackOff()),
    (
        [LOST, msg.ReadFailed(5), msg.RetryDue()],
        Phase.READING,
        msg.ReadSlot(2, 5),
    ),
    (
        [
            LOST,
            GIVE_UP,
            UNCHANGED,
            msg.RetryDue(),
        ],
        Phase.WRITING,
        msg.WriteSlot(2, 5, 'me#1', b'void', 'v9'),
    ),
    (
        [LOST, GIVE_UP, MINE_FOUND],
        Phase.IDLE,
        msg.Committed(5, False),
    ),
    (
        [LOST, GIVE_UP, msg.ReadBack(5, slot(5, 'me#1'))],
        Phase.IDLE,
        msg.Committed(5, True),
    ),
)


@pytest.mark.parametrize(('events', 'phase', 'effect'), STEPS)
def test_steps(writing, events, phase, effect):
    state, effects = run(writing, *events)
    assert (state.phase, effects) == (phase, (effect,))


@pytest.mark.parametrize(
    'event',
    [
        msg.Written('me#7', 'v9'),
        msg.AnswerLost('me#7'),
        msg.Unavailable('me#7'),
        msg.ReadBack(5, slot(5, 'me#0')),
        msg.RetryDue(),
        msg.Append(b'more', 5),
    ],
)
def test_stale_events_change_nothing(writing, event):
    assert journal.step(writing, event) == (writing, ())


def test_stale_read_back_changes_nothing(writing):
    reading, _ = run(writing, LOST)
    stale = msg.ReadBack(2, slot(2, 'me#0'))
    assert journal.step(reading, stale) == (reading, ())


def test_fenced_writer_never_writes_again(writing):
    fenced, _ = run(writing, LOST, msg.ReadBack(5, slot(8, 'x')))
    for event in (msg.Append(b'', 9), msg.RetryDue(), msg.GiveUp(b'')):
        assert journal.step(fenced, event) == (fenced, ())


def test_needed_slot_is_not_overwritten(idle):
    with pytest.raises(JournalFullError) as full:
        journal.step(idle, msg.Append(b'data', 2))
    assert full.value.retry_after_s


INCOMPLETE = ((3, 4, 1), (3, -1, 2), (4, 3, 2))


@pytest.mark.parametrize('numbers', INCOMPLETE)
def test_listing_with_a_missing_append_is_refused(numbers):
    slots = [slot(number, 'x') for number in numbers]
    with pytest.raises(HistoryError):
        ring.assemble(slots)


@pytest.mark.parametrize(
    'body',
    [{}, {'number': 'x'}, {**ring.empty_body('log', 3), 'data': '*'}],
)
def test_invalid_slot_body_is_refused(body):
    with pytest.raises(CorruptRecordError):
        ring.parse_slot(body, 'v')


def opened(name):
    return rec.Opened(name, 0, b'', 'a', 'd', 9, '', 0, 9, 9)


def test_index_carries_oldest_first_and_drops_expired_programs():
    log_index = LogIndex(8, Retention(10))
    log_index.apply_batch(0, [opened('live')])
    state = apply(None, opened('over'))
    ended = calls.end_records(state, 'done', 5)
    log_index.apply_batch(1, [opened('over'), *ended])
    over = apply_all(state, ended)
    assert log_index.carry_forward(3, 100).records == ()
    assert [type(item) for item in log_index.carry_forward(4, 100).records] == [
        rec.ProgramSnapshot
    ]
    assert log_index.carry_forward(5, 14).records[0] == rec.ProgramSnapshot(
        'over', 0, over.digest, over
    )
    assert log_index.carry_forward(9, 100).records[1] == rec.Dropped(
        'over', 0, over.digest
    )
    assert log_index.oldest_needed(10) == 9


def test_index_is_rebuilt_from_a_listing():
    log_index = LogIndex(SIZE, Retention())
    log_index.apply_batch(0, [opened('a')])
    log_index.apply_batch(1, [opened('b')])
    batches = [
        [opened('a')],
        [opened('b')],
        log_index.carry_forward(2, 0).records,
    ]
    slots = [
        slot(number, 'x')._replace(data=rec.encode_batch(batch))
        for number, batch in enumerate(batches)
    ]
    found = rebuild(ring.assemble(slots), Retention()).log_index
    assert found.programs == log_index.programs
    assert found.oldest_needed(3) == log_index.oldest_needed(3)


def test_index_applies_all_records_of_a_batch_or_none():
    log_index = LogIndex(SIZE, Retention())
    with pytest.raises(HistoryError):
        log_index.apply_batch(0, [opened('a'), rec.Touched('b', 0, b'', 'e')])
    assert log_index.programs == {}


def test_records_beyond_one_object_are_refused():
    with pytest.raises(RefusedCallError) as refused:
        check_size([opened('x' * ring.MAX_DATA_BYTES)])
    assert refused.value.outcome is Outcome.NOT_RUN
