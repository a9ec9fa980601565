"""Encoding, replay and merging of held records with arbitrary input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.protocol import calls
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import CorruptRecordError, HistoryError
from cactusledge.protocol.held import plan_held, split_batches
from cactusledge.protocol.program import apply, replay, replay_log

OPENED = rec.Opened('p', 0, b'', 'acct', 'def', 50, '', 0, 1000, 20)
property_settings = settings(derandomize=True, max_examples=150, deadline=None)


def history(name='p', turns=3):
    records = [OPENED._replace(program_id=name)]
    state = apply(None, records[0])
    for seq in range(1, turns + 1):
        spec = CallSpec(
            name, seq, f'k{seq}', CallKind.MODEL, 'm', 'chat', True, {}, 2
        )
        records.extend(calls.decide_call(state, spec, 0).records)
        state = apply(state, records[-1])
        answer = Answer(name, seq, Outcome.RAN, 200, {'n': seq}, 1)
        records.append(calls.outcome_record(state, seq, answer, 'e'))
        state = apply(state, records[-1])
    for record in calls.end_records(state, 'done', 9):
        records.append(record)
        state = apply(state, record)
    return records, state


RECORDS, FINAL_STATE = history()
SNAPSHOT = rec.ProgramSnapshot('p', 3, FINAL_STATE.digest, FINAL_STATE)
OTHER_RECORDS = (SNAPSHOT, rec.Seal('a', 'b'), rec.Void('a'))
BATCH = rec.encode_batch([*RECORDS, *OTHER_RECORDS])


def test_round_trip_of_all_record_kinds():
    assert rec.decode_batch(BATCH) == (*RECORDS, *OTHER_RECORDS)


@property_settings
@given(st.lists(st.sampled_from([*RECORDS, *OTHER_RECORDS]), max_size=12))
def test_round_trip_of_any_batch(records):
    assert rec.decode_batch(rec.encode_batch(records)) == tuple(records)


@property_settings
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused(data):
    with pytest.raises(CorruptRecordError):
        rec.decode_batch(data)


@property_settings
@given(st.integers(0, len(BATCH) - 1), st.integers(1, 255))
def test_changed_byte_is_refused_or_changes_nothing(place, flip):
    changed = bytearray(BATCH)
    changed[place] ^= flip
    try:
        decoded = rec.decode_batch(bytes(changed))
    except CorruptRecordError:
        return
    assert decoded == (*RECORDS, *OTHER_RECORDS)


@property_settings
@given(st.integers(0, len(BATCH) - 1))
def test_truncated_batch_is_refused(length):
    with pytest.raises(CorruptRecordError):
        rec.decode_batch(BATCH[:length])


def test_claimed_size_is_limited():
    data = rec.encode_batch([OPENED._replace(account='x' * (1 << 25))])
    with pytest.raises(CorruptRecordError, match='claims'):
        rec.decode_batch(data)


@property_settings
@given(st.lists(st.sampled_from(RECORDS), max_size=10))
def test_selection_of_records_replays_only_if_it_is_a_prefix(records):
    prefix = records == RECORDS[: len(records)]
    try:
        replay(records)
    except HistoryError:
        assert not prefix
    else:
        assert prefix


@pytest.mark.parametrize('cut', range(1, len(RECORDS)))
def test_snapshot_replaces_what_was_overwritten(cut):
    left = [*RECORDS[cut:], SNAPSHOT]
    assert replay(left) == {'p': FINAL_STATE}


@pytest.mark.parametrize(
    'records',
    [
        RECORDS[1:],
        [*RECORDS[:2], SNAPSHOT],
        [*RECORDS[1:3], SNAPSHOT],
        [*RECORDS, RECORDS[-1]],
        [RECORDS[0], RECORDS[0]],
        [RECORDS[0], RECORDS[1]._replace(program_id='q')],
        [RECORDS[0], rec.Dropped('p', 0, b'other')],
        [SNAPSHOT._replace(program_id='q')],
    ],
)
def test_missing_or_mixed_history_is_detected(records):
    with pytest.raises(HistoryError):
        replay(records)


def test_dropped_program_is_removed():
    dropped = rec.Dropped('p', 3, FINAL_STATE.digest)
    assert replay([*RECORDS[4:], dropped]) == {}


@property_settings
@given(
    st.integers(1, len(RECORDS)),
    st.permutations([*RECORDS, *RECORDS[:3]]),
)
def test_held_records_complete_the_log_in_any_order(known, held):
    found = replay_log(RECORDS[:known])
    plan = plan_held(found.programs, found.record_digests, held)
    assert list(plan.missing) == RECORDS[known:]
    assert plan.rejected == ()


def test_held_records_of_another_branch_are_rejected():
    found = replay_log(RECORDS[:3])
    other_branch = rec.Touched('p', 0, b'x', 'e')
    plan = plan_held(
        found.programs, found.record_digests, [other_branch, RECORDS[3]]
    )
    assert plan == ((RECORDS[3],), (other_branch,))


def test_split_keeps_order_within_the_limit():
    batches = list(split_batches(RECORDS, 200))
    assert [record for batch in batches for record in batch] == RECORDS
    assert len(batches) > 1
