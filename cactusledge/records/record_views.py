"""What a store replies about programs and chains."""

from collections.abc import Sequence

from cactusledge.records.entries import Turn
from cactusledge.records.log import RecordLog
from cactusledge.records.log_readers import LogReaders
from cactusledge.records.messages import ReserveReply
from cactusledge.records.quorum import Spent


class RecordViews:
    """Replies made of what a store knows."""

    def __init__(self, record_log: RecordLog, log_readers: LogReaders) -> None:
        """Keeps the log, and which disks were replaced recently."""
        self._log = record_log
        self._log_readers = log_readers

    def of_program(self, program_id: str, parent_id: str) -> ReserveReply:
        """Returns what a program has spent."""
        spent = dict(self._log.state.spent(program_id))
        return self._reply(parent_id, spent, ())

    async def of_chain(self, turn_id: str) -> ReserveReply:
        """Returns a chain as far back as it is known, with its texts."""
        chain = self._log.state.chain(turn_id)
        found = await self._log.texts.read([turn.turn_id for turn in chain])
        texts = {turn.turn_id: turn for turn in found}
        turns = [texts.get(turn.turn_id, turn.without_text()) for turn in chain]
        return self._reply(turn_id, {}, turns)

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
