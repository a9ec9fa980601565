"""Assembly of a model's answer from its chunks."""

from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusledge.endpoints.stream_assembly import (
    AnswerAssembly,
    ForeignChunkError,
)
from cactusledge.endpoints.streams import MAX_LINE_BYTES, data_lines

USAGE = MappingProxyType({
    'prompt_tokens': 3,
    'completion_tokens': 2,
    'prompt_tokens_details': {'cached_tokens': 1},
})
LONG_LINE = b'x' * (MAX_LINE_BYTES + 1)


def chunk(text, offset=None, reason=None, **fields):
    choice = {'delta': {'content': text}, 'finish_reason': reason}
    place = {} if offset is None else {'token_offset': offset}
    return {'id': 'r', 'choices': [choice], **place, **fields}


END = chunk(None, 2, 'stop', usage=USAGE)


@pytest.mark.parametrize(
    'documents',
    [
        (chunk('a', 0), chunk('b', 1), END),
        (chunk('', 0), chunk('a', 0), chunk('b', 1), END),
        (chunk('a', 0), chunk('a', 0), chunk('b', 1), chunk('a', 0), END),
        (chunk('b', 1), chunk('a', 0), END),
        (chunk('a', 0), END, chunk('b', 1)),
        (chunk('a'), chunk('b'), chunk('', reason='stop', usage=USAGE)),
        (chunk('a', 0), chunk('b', 1, 'stop', usage=USAGE)),
        (
            chunk('a', 0),
            chunk('b', 1, 'stop'),
            {'id': 'r', 'choices': [], 'usage': USAGE},
        ),
    ],
    ids=[
        'plain',
        'role first',
        'duplicates',
        'out of order',
        'chunk after the end',
        'without offsets',
        'end with text',
        'usage in its own chunk',
    ],
)
def test_answer_is_complete(documents):
    assembly = AnswerAssembly('r')
    chunks = [part for one in documents for part in assembly.add_chunk(one)]
    assert chunks == [(0, 'a'), (1, 'b')]
    assert assembly.finished() == ('ab', (3, 1, 2), 'stop')


@pytest.mark.parametrize(
    'documents',
    [
        (),
        (chunk('a', 0), chunk('b', 1)),
        (chunk('a', 0), END),
        (chunk('b', 1), END),
        (chunk('b', 1, 'stop'),),
    ],
)
def test_answer_with_a_missing_part_is_incomplete(documents):
    assembly = AnswerAssembly('r')
    for document in documents:
        assembly.add_chunk(document)
    assert assembly.finished() is None


def test_chunk_of_another_request_is_rejected():
    with pytest.raises(ForeignChunkError):
        AnswerAssembly('r').add_chunk(chunk('a', 0, id='s'))


@pytest.mark.parametrize(
    ('body_parts', 'expected'),
    [
        ((b'data: a\n\ndata: b\n',), [b'a', b'b']),
        ((b'da', b'ta: a\r\n', b': ping\n\ndata:b\n\n'), [b'a', b'b']),
        ((b'data: a\ndata: cut',), [b'a']),
        ((b'data: a\n', LONG_LINE, b'\ndata: b\n'), [b'a']),
    ],
)
def test_data_lines(body_parts, expected):
    assert list(data_lines(iter(body_parts))) == expected


@settings(derandomize=True, deadline=None)
@given(
    order=st.permutations(range(6)),
    duplicated=st.lists(st.integers(0, 5)),
    dropped=st.sets(st.integers(0, 5), max_size=2),
)
def test_answer_completes_only_without_missing_chunks(
    order, duplicated, dropped
):
    assembly = AnswerAssembly('r')
    arriving = [*order, *duplicated]
    documents = [
        *(
            chunk(str(index), index)
            for index in arriving
            if index not in dropped
        ),
        chunk(None, 6, 'stop'),
    ]
    chunks = [part for one in documents for part in assembly.add_chunk(one)]
    expected = '012345'[: min(dropped, default=6)]
    assert [part.index for part in chunks] == list(range(len(expected)))
    assert assembly.text == expected
    assert (assembly.finished() is None) == bool(dropped)
