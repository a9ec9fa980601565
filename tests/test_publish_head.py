"""Publishing: races, lost answers, parts and plans."""

from functools import partial

import pytest

from cactusledge.errors import ErrorCode, StoreUnavailableError
from cactusledge.protocol.config_head import (
    Draft,
    HeadWriteResult,
    PublishStep,
    decide_publish,
    next_head,
    resolve_write,
    should_apply,
)
from cactusledge.settings.definitions import DefinitionSet, merge, parse_file
from cactusledge.settings.errors import (
    InvalidDefinitionError,
    PublishConflictError,
)
from cactusledge.settings.parts import (
    MAX_PART_BYTES,
    CorruptPartError,
    join_parts,
    split_parts,
)
from cactusledge.settings.plan import (
    IDEMPOTENT_WARNING,
    REMOVAL_WARNING,
    FieldChange,
    plan,
)
from cactusledge.settings.publish import (
    Publisher,
    PublishUnsettledError,
    publish,
)
from cactusledge.settings.published import load_published, read_published

PART_FAULTS = (('',), ('landed', ''), ('lost', ''))
MODEL_COUNT = 1000


def models(*names: str, context: int = 9) -> DefinitionSet:
    items = ', '.join(
        f'{{name: {name}, context_tokens: {context}}}' for name in names
    )
    return merge([parse_file('f.yaml', f'models: [{items}]'.encode())])


def publisher(name: str = 'abeba') -> Publisher:
    return Publisher(name, sleep=lambda pause_s: None, now=float)


def published_names(store) -> tuple[int, list[str]]:
    cfg = load_published(store)
    return cfg.generation, sorted(cfg.models)


def rival(store, name: str = 'r'):
    """Returns a function that publishes as another operator."""
    return lambda: publish(store, models(name), None, publisher('rival'))


def put_then_supersede(store, put, kind, name, body):
    stored = put(kind, name, body)
    if kind == 'configheads' and body['generation'] == 1:
        rival(store)()
    return stored


def head_of(previous, nonce: str):
    return next_head(previous, Draft(nonce, nonce, (), 'abeba', ''))


FIRST = head_of(None, 'a')
SECOND = head_of(FIRST, 'b')
RIVAL = head_of(FIRST, 'c')

WRITE_RESULTS = (
    (FIRST, None, HeadWriteResult.REPEAT),
    (SECOND, FIRST, HeadWriteResult.REPEAT),
    (SECOND, SECOND, HeadWriteResult.PUBLISHED),
    (SECOND, RIVAL, HeadWriteResult.LOST),
    (SECOND, head_of(SECOND, 'd'), HeadWriteResult.PUBLISHED),
    (SECOND, head_of(RIVAL, 'd'), HeadWriteResult.LOST),
    (
        SECOND,
        head_of(RIVAL, 'd')._replace(recent=()),
        HeadWriteResult.UNDECIDED,
    ),
)
STEPS = (
    (None, 'x', None, PublishStep.WRITE),
    (None, 'x', 0, PublishStep.WRITE),
    (None, 'x', 1, PublishStep.CONFLICT),
    (SECOND, 'x', 2, PublishStep.WRITE),
    (SECOND, 'x', 1, PublishStep.CONFLICT),
    (SECOND, 'b', None, PublishStep.UNCHANGED),
)
# Faults injected into head writes, after the part was written, and the
# publisher whose head takes effect.
HEAD_FAULTS = (
    ((), 'abeba'),
    (('landed',), 'abeba'),
    (('lost',), 'abeba'),
    (('lost', 'lost', 'landed'), 'abeba'),
    (('lost', 'down', 'down', ''), 'abeba'),
    (('late',), 'abeba'),
    (('late', 'lost'), 'abeba'),
    (('lost', 'late', 'down'), 'abeba'),
    (('race',), 'rival'),
    (('lost', 'race'), 'rival'),
    (('lost', 'down', 'race'), 'rival'),
)


@pytest.mark.parametrize(('mine', 'found', 'write_result'), WRITE_RESULTS)
def test_lost_answer_is_resolved_by_the_nonce(mine, found, write_result):
    assert resolve_write(mine, found) is write_result


@pytest.mark.parametrize(('current', 'digest', 'expected', 'step'), STEPS)
def test_publish_step_depends_on_the_head(current, digest, expected, step):
    assert decide_publish(current, digest, expected) is step


@pytest.mark.parametrize(
    ('current', 'applies'), [(1, True), (2, False), (3, False)]
)
def test_only_a_higher_generation_is_applied(current, applies):
    assert should_apply(current, SECOND.generation) is applies


@pytest.mark.parametrize(('faults', 'winner'), HEAD_FAULTS)
@pytest.mark.parametrize('part_faults', PART_FAULTS)
@pytest.mark.parametrize('first', [True, False])
def test_publishing_under_faults(store, faults, winner, part_faults, first):
    if not first:
        publish(store, models('base'), None, publisher())
    before = 0 if first else 1
    race = {'race': rival(store)}
    store.faults = [*part_faults, *(race.get(fault, fault) for fault in faults)]
    if winner == 'rival':
        with pytest.raises(PublishConflictError, match='rival') as caught:
            publish(store, models('m'), None, publisher())
        assert f'--expect-generation {before + 1}' in caught.value.remedy
        assert published_names(store) == (before + 1, ['r'])
    else:
        done = publish(store, models('m'), before, publisher())
        assert done.generation == before + 1
        assert published_names(store) == (before + 1, ['m'])


def test_superseded_write_counts_as_published(store):
    store.faults = ['', 'landed']
    store.put = partial(put_then_supersede, store, store.put)
    done = publish(store, models('m'), None, publisher())
    assert done.generation == 1
    assert published_names(store) == (2, ['r'])


def test_nothing_is_published_while_the_platform_is_down(store):
    store.faults = ['', 'down']
    with pytest.raises(StoreUnavailableError):
        publish(store, models('m'), None, publisher())
    assert published_names(store) == (0, [])


def test_unresponsive_platform_leaves_the_outcome_unknown(store):
    store.faults = ['', *('lost' for _ in range(9))]
    with pytest.raises(PublishUnsettledError) as caught:
        publish(store, models('m'), None, publisher())
    assert caught.value.code is ErrorCode.STORE_ANSWER_LOST


def test_publishing_the_same_again_changes_nothing(store):
    publish(store, models('m'), None, publisher())
    again = publish(store, models('m'), 0, publisher())
    assert (again.generation, again.changed) == (1, False)


def test_adding_one_of_many_models_rewrites_few_parts(store):
    names = [f'm{count}' for count in range(MODEL_COUNT)]
    first = publish(store, models(*names), None, publisher())
    second = publish(store, models(*names, 'extra'), None, publisher())
    assert first.parts_written > 8
    assert second.parts_written <= 2
    assert len(published_names(store)[1]) == MODEL_COUNT + 1


def test_parts_stay_below_the_platforms_limit():
    prefix = 'x ' * (MAX_PART_BYTES // 5)
    programs = [
        f'{{name: p{count}, models: [m], budget: 1, max_output_tokens: 1,'
        f' common_prefix: "{prefix}"}}'
        for count in range(5)
    ]
    text = (
        'models: [{name: m, context_tokens: 9}]\n'
        f'programs: [{", ".join(programs)}]'
    )
    wanted = merge([parse_file('f.yaml', text.encode())]).merged
    parts = split_parts(wanted)
    assert max(len(part.content) for part in parts) < MAX_PART_BYTES + 100
    assert join_parts(parts) == wanted
    huge = merge([parse_file('f.yaml', text.replace('x ', 'xyzxyz ').encode())])
    with pytest.raises(InvalidDefinitionError, match='larger than'):
        split_parts(huge.merged)


def test_damaged_objects_are_refused(store):
    publish(store, models('m'), None, publisher())
    part = next(key for key in store.objects if key[0] == 'configparts')
    store.put(*part, {'content': '[]'})
    with pytest.raises(CorruptPartError, match='damaged'):
        read_published(store)
    store.put('configheads', 'head', {'generation': 'one'})
    with pytest.raises(CorruptPartError, match='damaged'):
        read_published(store)


def test_the_plan_names_fields_and_warns():
    text = 'services: [{{name: s, operations: [{{name: o, idempotent: {}}}]}}]'
    old, new = (
        merge([parse_file('f.yaml', text.format(word).encode())]).merged
        for word in ('false', 'true')
    )
    changes = plan(old, new)
    assert [change.warning for change in changes] == [IDEMPOTENT_WARNING]
    assert changes[0].fields == (
        FieldChange('operations.o.idempotent', old=False, new=True),
    )
    removed, added = plan(models('a').merged, models('b').merged)
    assert (removed.action, removed.warning) == ('remove', REMOVAL_WARNING)
    assert (added.action, added.name) == ('add', 'b')
    assert not plan(old, old)
