"""What a store replies about programs, chains and replaced disks."""

import time
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cactusledge.records.entries import Turn, short_id
from cactusledge.records.log import RecordLog
from cactusledge.records.message_texts import MESSAGE_BYTES, youngest_that_fit
from cactusledge.records.messages import ReserveReply
from cactusledge.records.quorum import Spent

READER_TTL_S = 60.0  # longer than any write is in flight


class _LogRead(NamedTuple):
    """The log id of a store that catches up, and when it last read."""

    log_id: str
    at_s: float


class LogReaders:
    """The recent readers of this log, for replies to writes to name."""

    def __init__(self) -> None:
        """Starts without readers."""
        self._reads: dict[str, _LogRead] = {}

    def note(self, name: str, log_id: str) -> None:
        """Records a read; a store of an older version sends no name."""
        if name:
            self._reads[name] = _LogRead(log_id, time.monotonic())

    def recent(self) -> dict[str, str]:
        """Returns the log ids of the stores that read recently, by name."""
        if not self._reads:
            return {}
        oldest_s = time.monotonic() - READER_TTL_S
        self._reads = {
            name: read
            for name, read in self._reads.items()
            if read.at_s >= oldest_s
        }
        return {name: read.log_id for name, read in self._reads.items()}


class RecordViews:
    """Replies made of what a store knows."""

    def __init__(self, record_log: RecordLog, log_readers: LogReaders) -> None:
        """Keeps the log, and which disks were replaced recently."""
        self._log = record_log
        self._log_readers = log_readers

    def of_program(self, program_id: str, parent_id: str) -> ReserveReply:
        """Returns what a program has spent, by digests if it has long ids."""
        spent = self._log.state.spent(program_id)
        ids_bytes = sum(len(turn_id) for turn_id in spent)
        is_long = ids_bytes > MESSAGE_BYTES
        sent = {
            short_id(turn_id) if is_long else turn_id: spend
            for turn_id, spend in spent.items()
        }
        return self._reply(parent_id, sent, ())

    async def of_chain(self, turn_id: str) -> ReserveReply:
        """Returns the end of a chain that fits in one message.

        The youngest turns come with their texts, as many as fit. The reader
        asks for the others, as it does for turns that a store lacks.
        """
        chain = youngest_that_fit(self._log.state.chain(turn_id))
        texts = await self._youngest_texts(chain)
        turns = [texts.get(turn.turn_id, turn.without_text()) for turn in chain]
        return self._reply(turn_id, {}, turns)

    async def _youngest_texts(
        self, chain: Sequence[Turn]
    ) -> Mapping[str, Turn]:
        reader = self._log.texts
        youngest_first = [turn.turn_id for turn in reversed(chain)]
        turns = await reader.read(reader.first_that_fit(youngest_first))
        return {turn.turn_id: turn for turn in turns}

    def _reply(
        self, parent_id: str, spent: Spent, chain: Sequence[Turn]
    ) -> ReserveReply:
        return ReserveReply(
            is_witness=self._log.identity.is_witness,
            spent=spent,
            knows_parent=parent_id in self._log.state.turns,
            chain=list(chain),
            log_id=self._log.identity.log_id,
            replaced=self._log_readers.recent(),
            room=self._log.account.room,
        )
