"""Decisions on calls, settlement, budgets of sub-agents and takeover."""

import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusledge.errors import ErrorCode
from cactusledge.models import Answer, CallKind, CallSpec, Outcome
from cactusledge.protocol import budget, calls
from cactusledge.protocol import records as rec
from cactusledge.protocol.errors import RefusedCallError
from cactusledge.protocol.program import apply, apply_all
from cactusledge.protocol.ring import (
    MAX_ANSWER_BYTES,
    MAX_REQUEST_BYTES,
    MAX_SNAPSHOT_BYTES,
)
from cactusledge.protocol.state import ANY_ENDPOINT

OPENED = rec.Opened('p', 0, b'', 'acct', 'def', 10, '', 100, 50, 3)
SPEC = CallSpec('p', 1, 'k1', CallKind.MODEL, 'm', 'chat', True, {'a': 1}, 4)
ANSWER = Answer('p', 1, Outcome.RAN, 200, {'b': 2}, 3)
NOW_S = 120


@pytest.fixture
def open_program():
    return apply(None, OPENED)


@pytest.fixture
def running(open_program):
    return begin(open_program, SPEC)


@pytest.fixture
def answered(running):
    return settle(running, ANSWER)


def begin(state, spec):
    decision = calls.decide_call(state, spec, NOW_S)
    return apply_all(state, decision.records)


def settle(state, answer, endpoint='e1'):
    record = calls.outcome_record(state, answer.seq, answer, endpoint)
    return apply(state, record)


def refusal(state, spec, now_s=NOW_S):
    decision = calls.decide_call(state, spec, now_s)
    assert isinstance(decision, calls.Refuse)
    assert decision.error.outcome is Outcome.NOT_RUN
    return decision.error


def test_first_call_reserves_its_upper_bound(running):
    assert running.running.seq == 1
    assert (running.reserved, running.available) == (4, 6)


def test_repeat_joins_and_then_gets_the_stored_answer(running, answered):
    assert calls.decide_call(running, SPEC, NOW_S) == calls.Join(1)
    stored = calls.decide_call(answered, SPEC, NOW_S)
    assert stored == calls.Stored(ANSWER)


def test_repeat_may_have_body_members_in_another_order(open_program):
    state = begin(open_program, SPEC._replace(body={'a': 1, 'b': [2]}))
    repeat = SPEC._replace(body={'b': [2], 'a': 1})
    assert calls.decide_call(state, repeat, NOW_S) == calls.Join(1)


@pytest.mark.parametrize(
    ('changes', 'now_s', 'code'),
    [
        ({'key': 'other'}, NOW_S, ErrorCode.SEQUENCE_CONFLICT),
        ({'body': {'a': 2}}, NOW_S, ErrorCode.SEQUENCE_CONFLICT),
        ({'seq': 3, 'key': 'k3'}, NOW_S, ErrorCode.SEQUENCE_GAP),
        ({'seq': 0}, NOW_S, ErrorCode.SEQUENCE_GAP),
        ({'seq': 2, 'reserve': 8}, NOW_S, ErrorCode.BUDGET_EXCEEDED),
        ({'seq': 2, 'reserve': -1}, NOW_S, ErrorCode.BUDGET_EXCEEDED),
        ({'seq': 2}, 150, ErrorCode.TIME_LIMIT),
    ],
)
def test_refusals_after_one_call(answered, changes, now_s, code):
    error = refusal(answered, SPEC._replace(**changes), now_s)
    assert error.code is code
    assert error.remedy


def test_gap_names_the_expected_number(answered):
    assert '2' in refusal(answered, SPEC._replace(seq=5)).remedy


def test_next_call_is_refused_while_one_runs(running):
    error = refusal(running, SPEC._replace(seq=2, key='k2'))
    assert error.code is ErrorCode.SEQUENCE_GAP
    assert error.retry_after_s


def test_turn_limit(open_program):
    state = open_program
    for seq in range(1, 4):
        spec = SPEC._replace(seq=seq, key=f'k{seq}', reserve=1)
        state = settle(begin(state, spec), ANSWER._replace(seq=seq, spent=1))
    error = refusal(state, SPEC._replace(seq=4, reserve=1))
    assert error.code is ErrorCode.TURN_LIMIT


def test_ended_program_answers_repeats_only(answered):
    ended = apply_all(answered, calls.end_records(answered, 'done', NOW_S))
    assert isinstance(calls.decide_call(ended, SPEC, NOW_S), calls.Stored)
    error = refusal(ended, SPEC._replace(seq=2))
    assert error.code is ErrorCode.PROGRAM_ENDED


@pytest.mark.parametrize(
    ('outcome', 'reported', 'spent', 'overrun'),
    [
        (Outcome.RAN, 3, 3, 0),
        (Outcome.RAN, 4, 4, 0),
        (Outcome.RAN, 9, 4, 5),
        (Outcome.RAN, -2, 0, 0),
        (Outcome.UNKNOWN, 0, 4, 0),
        (Outcome.NOT_RUN, 3, 0, 0),
    ],
)
def test_settling(running, outcome, reported, spent, overrun):
    answer = ANSWER._replace(outcome=outcome, spent=reported)
    record = calls.outcome_record(running, 1, answer, 'e1')
    assert (record.spent, record.overrun) == (spent, overrun)
    state = apply(running, record)
    assert (state.spent, state.reserved) == (spent, 0)


def test_not_run_frees_the_sequence_number(running):
    state = settle(running, ANSWER._replace(outcome=Outcome.NOT_RUN))
    assert not state.calls
    assert begin(state, SPEC._replace(key='again')).running.key == 'again'


@pytest.mark.parametrize(
    ('idempotent', 'outcome'),
    [(True, None), (False, Outcome.UNKNOWN)],
)
def test_takeover_settles_only_non_idempotent_calls(
    open_program, idempotent, outcome
):
    state = begin(open_program, SPEC._replace(idempotent=idempotent))
    new_owner = apply_all(state, calls.takeover_records(state))
    assert new_owner.calls[0].outcome is outcome
    assert new_owner.touched == (ANY_ENDPOINT,)
    assert not calls.takeover_records(new_owner)


def test_end_requests_a_cache_release_from_each_engine(answered):
    ended = apply_all(answered, calls.end_records(answered, 'done', NOW_S))
    assert ended.releases == ('e1',)
    release = calls.release_record(ended, 'e1', done=True)
    assert not apply(ended, release).releases
    assert not calls.end_records(ended, 'again', NOW_S)


def test_end_settles_a_running_call_as_unknown(running):
    ended = apply_all(running, calls.end_records(running, 'idle', NOW_S))
    assert ended.calls[0].outcome is Outcome.UNKNOWN
    assert ended.spent == 4


def test_sub_agent_spends_from_its_share(open_program):
    child_opened = OPENED._replace(program_id='c', budget=6)
    share, opened = budget.open_child(open_program, child_opened)
    parent, child = apply(open_program, share), apply(None, opened)
    assert (parent.available, child.parent) == (4, 'p')
    child = begin(child, SPEC._replace(program_id='c'))
    child = settle(child, ANSWER)
    parent = apply(parent, budget.return_share(parent, child))
    assert (parent.spent, parent.available, parent.shares) == (3, 7, ())


def test_sub_agent_beyond_the_parents_budget_is_refused(running):
    with pytest.raises(RefusedCallError) as refused:
        budget.open_child(running, OPENED._replace(program_id='c', budget=7))
    assert refused.value.code is ErrorCode.BUDGET_EXCEEDED


def test_history_stays_within_one_object(open_program):
    incompressible = random.Random(7).randbytes(MAX_SNAPSHOT_BYTES)
    call = begin(open_program, SPEC).calls[0]
    state = open_program._replace(calls=(call._replace(body=incompressible),))
    settled = settle(state, ANSWER)
    spec = SPEC._replace(seq=2, key='k2', reserve=1)
    assert refusal(settled, spec).code is ErrorCode.TOO_LARGE
    text = settled.calls[0]._replace(body=bytes(MAX_SNAPSHOT_BYTES))
    smaller = settled._replace(calls=(text,))
    assert isinstance(calls.decide_call(smaller, spec, NOW_S), calls.Start)


def test_large_request_is_refused(open_program):
    spec = SPEC._replace(body={'a': 'x' * MAX_REQUEST_BYTES})
    assert refusal(open_program, spec).code is ErrorCode.TOO_LARGE


def test_large_answer_is_replaced_by_its_size(running):
    body = {'a': 'x' * MAX_ANSWER_BYTES}
    state = settle(running, ANSWER._replace(body=body))
    kept = calls.answer_of(state, state.calls[0])
    assert kept.outcome is Outcome.RAN
    assert kept.body['bytes'] > MAX_ANSWER_BYTES


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(['parent', 'child', 'end']),
        st.integers(0, 8),
        st.integers(0, 12),
        st.sampled_from([Outcome.RAN, Outcome.UNKNOWN, Outcome.NOT_RUN]),
    ),
    max_size=12,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ACTIONS)
def test_parent_and_sub_agents_stay_within_the_budget(actions):
    programs = ParentAndChild()
    for action, reserve, reported, outcome in actions:
        programs.act(action, reserve, reported, outcome)
        assert programs.parent.available >= 0
        assert programs.cost <= programs.parent.budget
        assert programs.child is None or programs.child.available >= 0


class ParentAndChild:
    """A parent and at most one open sub-agent at a time."""

    def __init__(self):
        self.parent = apply(None, OPENED._replace(turn_limit=99))
        self.child = None
        self.cost = 0  # units that endpoints may have spent

    def act(self, action, reserve, reported, outcome):
        """Performs one action if the protocol allows it."""
        if action == 'parent':
            self.parent = self.call(self.parent, reserve, reported, outcome)
        elif self.child is None:
            self.open_child(reserve)
        elif action == 'child':
            self.child = self.call(self.child, reserve, reported, outcome)
        else:
            self.end_child()

    def call(self, state, reserve, reported, outcome):
        """Returns the program after a call; unchanged if it is refused."""
        seq = len(state.calls) + 1
        spec = SPEC._replace(seq=seq, key=f'k{seq}', reserve=reserve)
        decision = calls.decide_call(state, spec, NOW_S)
        if isinstance(decision, calls.Refuse):
            return state
        self.cost += 0 if outcome is Outcome.NOT_RUN else min(reserve, reported)
        begun = apply_all(state, decision.records)
        answer = ANSWER._replace(seq=seq, outcome=outcome, spent=reported)
        return settle(begun, answer)

    def open_child(self, share):
        """Opens the sub-agent if the budget allows it."""
        name = f'c{len(self.parent.shares)}'
        opened = OPENED._replace(program_id=name, budget=share, turn_limit=99)
        with contextlib.suppress(RefusedCallError):
            records = budget.open_child(self.parent, opened)
            self.parent = apply(self.parent, records[0])
            self.child = apply(None, records[1])

    def end_child(self):
        """Ends the sub-agent and returns its share."""
        record = budget.return_share(self.parent, self.child)
        self.parent = apply(self.parent, record)
        self.child = None
