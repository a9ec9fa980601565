"""Stubs of the record client, for tests of the gateway."""

from types import SimpleNamespace

from cactusledge.records.entries import EMPTY_GROUP, Reserved
from cactusledge.records.messages import ReserveReply
from cactusledge.records.quorum import Verdict, decide
from cactusledge.records.reservations import Grant
from cactusledge.records.state import RecordState
from cactusledge.records.writer import Recorded


class FakeRecords:
    """Stub of the record client with preset grants; keeps what it is sent."""

    def __init__(self):
        self.grant = Grant(Verdict.GRANTED)
        self.is_durable = True
        self.has_quorum = True
        self.quorum_state = SimpleNamespace(lost_for_s=0, was_connected=True)
        self.recorded = []
        self.settled = []

    def group_of(self, program_id):
        return EMPTY_GROUP

    async def begin(self, start):
        return self.grant

    async def record(self, turn):
        if self.is_durable:
            self.recorded.append(turn)
        return Recorded(self.is_durable, rounds=1)

    def settle(self, entry):
        self.settled.append((entry.turn_id, entry.tokens))


class LedgerRecords(FakeRecords):
    """Stub of the record client that decides like a single store."""

    def __init__(self):
        super().__init__()
        self.state = RecordState()

    async def begin(self, start):
        if start.demand.budget is not None:
            self.state.apply(
                Reserved(
                    start.program_id, start.demand.turn_id, start.demand.tokens
                )
            )
        reply = ReserveReply(
            is_witness=True,
            spent=dict(self.state.spent(start.program_id)),
            knows_parent=start.demand.parent_id in self.state.turns,
            chain=[],
        )
        return Grant(decide(start.demand, {'store': reply}, needed=1))

    async def record(self, turn):
        self.state.apply(turn)
        return await super().record(turn)

    def settle(self, entry):
        super().settle(entry)
        self.state.apply(entry)
