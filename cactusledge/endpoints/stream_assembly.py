"""Assembles a model's answer from the chunks of its stream; performs no I/O.

A chunk carries its token offset, so that chunks that arrive twice, out of order
or from a resumed stream are put in the right position. For engines that send
no offset, the chunks are counted.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias

from cactusledge.models import Usage


class Chunk(NamedTuple):
    """A part of the text; `index` is the offset of its token."""

    index: int  # type: ignore[assignment]  # hides tuple.index
    text: str


class Finished(NamedTuple):
    """The complete answer."""

    text: str
    usage: Usage
    finish_reason: str


StreamEvent: TypeAlias = Chunk | Finished


class ForeignChunkError(Exception):
    """The chunk carries the id of another request."""


class AnswerAssembly:
    """The part of the answer to one request that has arrived so far."""

    def __init__(self, request_id: str) -> None:
        """Starts with an empty answer."""
        self._request_id = request_id
        self._texts: list[str] = []
        # Chunks that arrived before a predecessor.
        self._out_of_order: dict[int, str] = {}
        self._usage: Mapping[str, Any] = {}
        self._finish_reason = ''
        self._end = 0  # offset after the last token, 0 if not known

    @property
    def offset(self) -> int:
        """Offset of the next expected token, at which a stream resumes."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The text up to the first missing chunk."""
        return ''.join(self._texts)

    def add_chunk(self, document: Mapping[str, Any]) -> list[Chunk]:
        """Adds a chunk; returns the chunks that are now in sequence."""
        if document.get('id', self._request_id) != self._request_id:
            raise ForeignChunkError(document['id'])
        self._usage = document.get('usage') or self._usage
        if not document['choices']:
            return []  # the chunk carries only the usage
        choice = document['choices'][0]
        text = choice['delta'].get('content') or ''
        if choice.get('finish_reason'):
            self._finish_reason = str(choice['finish_reason'])
            end = int(document.get('token_offset', 0))
            self._end = end + 1 if text else end
        return self._insert(document, text)

    def finished(self) -> Finished | None:
        """Returns the complete answer, or None while a part is missing."""
        is_incomplete = self._out_of_order or self.offset < self._end
        if is_incomplete or not self._finish_reason:
            return None
        return Finished(
            self.text,
            parse_usage(self._usage),
            self._finish_reason,
        )

    def _insert(self, document: Mapping[str, Any], text: str) -> list[Chunk]:
        index = int(document.get('token_offset', self.offset))
        if index < self.offset or not text:
            return []
        self._out_of_order[index] = text
        ready = []
        while self.offset in self._out_of_order:
            chunk = Chunk(self.offset, self._out_of_order.pop(self.offset))
            self._texts.append(chunk.text)
            ready.append(chunk)
        return ready


def parse_usage(document: Mapping[str, Any]) -> Usage:
    """Parses the token usage that an engine reported."""
    details = document.get('prompt_tokens_details') or {}
    return Usage(
        prompt_tokens=int(document.get('prompt_tokens', 0)),
        cached_tokens=int(details.get('cached_tokens', 0)),
        output_tokens=int(document.get('completion_tokens', 0)),
    )
