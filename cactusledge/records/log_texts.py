"""The texts of a log: recent ones in memory, all others read from disk."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec
import structlog

from cactusledge.records.disk import read_entry
from cactusledge.records.entries import ENTRY_DECODER, Turn
from cactusledge.records.entry_index import Record
from cactusledge.records.message_texts import count_that_fit, text_bytes
from cactusledge.records.state import RecordState

CACHE_BYTES = 8 * 1024 * 1024
READS_AT_ONCE = 2  # each of the texts of one message
TRIES = 2  # a text may be moved to another segment while it is read

log = structlog.get_logger('records')


class TextCache:
    """Bounds the bytes of texts that are on disk and in memory as well."""

    def __init__(self, state: RecordState) -> None:
        """Starts empty; the texts are those of the state's turns."""
        self._state = state
        self._written: OrderedDict[str, int] = OrderedDict()  # bytes, by turn
        self._written_bytes = 0
        self._unwritten: dict[str, int] = {}  # bytes, by turn
        self._unwritten_bytes = 0

    @property
    def memory_bytes(self) -> int:
        """The bytes of all texts in memory."""
        return self._written_bytes + self._unwritten_bytes

    def add(self, turn: Turn) -> None:
        """Adds a turn's text that is not on disk yet."""
        size = text_bytes(turn)
        self._unwritten[turn.turn_id] = size
        self._unwritten_bytes += size

    def on_written(self, record: Record) -> None:
        """Notes that a text is on disk; the oldest ones leave the memory."""
        turn_id = record.entry.turn_id
        self._state.texts_on_disk[turn_id] = record
        size = self._unwritten.pop(turn_id, None)
        if size is None:
            return
        self._unwritten_bytes -= size
        self._written[turn_id] = size
        self._written_bytes += size
        while self._written_bytes > CACHE_BYTES:
            oldest, dropped = self._written.popitem(last=False)
            self._written_bytes -= dropped
            self._state.drop_text(self._state.texts_on_disk[oldest])

    def forget(self, turn_id: str) -> None:
        """Removes the text of a turn that has been dropped."""
        self._unwritten_bytes -= self._unwritten.pop(turn_id, 0)
        self._written_bytes -= self._written.pop(turn_id, 0)


class TextPlace(NamedTuple):
    """Where a turn's entry is on disk."""

    turn_id: str
    path: Path
    offset: int  # bytes, of its frame
    size: int  # bytes, of the entry


class TextReader:
    """Returns turns with their texts, from memory or from disk."""

    def __init__(self, folder: Path, state: RecordState) -> None:
        """Keeps the data folder, and the turns that are known."""
        self._folder = folder
        self._state = state
        self._slots = asyncio.Semaphore(READS_AT_ONCE)

    def size_of(self, turn_id: str) -> int:
        """Returns the bytes of a turn's text, 0 if it is not known here."""
        record = self._state.texts_on_disk.get(turn_id)
        if record is not None:
            return record.size
        turn = self._state.turns.get(turn_id)
        return 0 if turn is None else text_bytes(turn)

    def first_that_fit(self, turn_ids: Iterable[str]) -> Sequence[str]:
        """Returns the first texts known here that fit in one message."""
        known = [one for one in turn_ids if self._state.has_text(one)]
        return known[: count_that_fit([self.size_of(one) for one in known])]

    async def read(self, turn_ids: Sequence[str]) -> list[Turn]:
        """Returns the turns whose text is known here, in the order given."""
        found = self._in_memory(turn_ids)
        for _ in range(TRIES):
            missing = self._places(turn_ids, found)
            if not missing:
                break
            async with self._slots:
                read = await asyncio.to_thread(read_texts, missing)
            found.update(read)
        return [found[turn_id] for turn_id in turn_ids if turn_id in found]

    def _in_memory(self, turn_ids: Iterable[str]) -> dict[str, Turn]:
        turns = self._state.turns
        known = [turns[turn_id] for turn_id in turn_ids if turn_id in turns]
        return {turn.turn_id: turn for turn in known if turn.has_text}

    def _places(
        self, turn_ids: Iterable[str], found: dict[str, Turn]
    ) -> list[TextPlace]:
        """Returns where the texts are that have not been found."""
        places = []
        for turn_id in turn_ids:
            record = self._state.texts_on_disk.get(turn_id)
            if turn_id in found or record is None or record.segment is None:
                continue
            path = self._folder / record.segment.name
            places.append(TextPlace(turn_id, path, record.offset, record.size))
        return places


def read_texts(places: Iterable[TextPlace]) -> dict[str, Turn]:
    """Returns the turns that can be read, by id; blocks."""
    found = {}
    for place in places:
        turn = _read_turn(place)
        if turn is not None and turn.turn_id == place.turn_id:
            found[place.turn_id] = turn
    return found


def _read_turn(place: TextPlace) -> Turn | None:
    try:
        encoded = read_entry(place.path, place.offset, place.size)
        entry = None if encoded is None else ENTRY_DECODER.decode(encoded)
    except (OSError, msgspec.MsgspecError) as exc:
        log.info(
            'records: text not read', turn_id=place.turn_id, error=repr(exc)
        )
        return None
    return entry if isinstance(entry, Turn) else None
