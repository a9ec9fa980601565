"""State of one program as recorded in the journal; immutable."""

from typing import NamedTuple

from cactusledge.models import CallKind, Outcome, Usage

# Stands for every engine that may have served the program.
ANY_ENDPOINT = '*'


class CallState(NamedTuple):
    """One call of a program; `outcome` is None while it runs."""

    seq: int
    key: str
    kind: CallKind
    target: str
    operation: str
    idempotent: bool
    body: bytes  # request document, JSON
    reserve: int
    max_output_tokens: int = 0
    outcome: Outcome | None = None
    status: int = 0
    answer: bytes = b''  # response document, JSON
    spent: int = 0
    overrun: int = 0  # units reported in excess of the reserve
    usage: Usage = Usage()
    endpoint: str = ''
    code: str = ''
    remedy: str = ''


class Share(NamedTuple):
    """Part of a program's budget that is reserved for a sub-agent."""

    child: str
    amount: int


class ProgramState(NamedTuple):
    """One program: its limits, calls, budget and pending cache releases."""

    program_id: str
    account: str
    definition: str
    budget: int
    parent: str
    opened_at_s: float
    time_limit_s: float
    turn_limit: int
    idle_limit_s: float
    digest: bytes  # of the program's latest record
    calls: tuple[CallState, ...] = ()
    spent: int = 0
    shares: tuple[Share, ...] = ()
    touched: tuple[str, ...] = ()  # engines that may hold the cache
    releases: tuple[str, ...] = ()  # engines that have yet to release it
    ended: str = ''  # reason, '' while the program is open
    ended_at_s: float = 0

    @property
    def running(self) -> CallState | None:
        """The call that has no outcome yet, if any."""
        if not self.calls or self.calls[-1].outcome is not None:
            return None
        return self.calls[-1]

    @property
    def reserved(self) -> int:
        """Units reserved for the running call and the sub-agents."""
        running = self.running
        held = 0 if running is None else running.reserve
        return held + sum(share.amount for share in self.shares)

    @property
    def available(self) -> int:
        """Units that are neither spent nor reserved."""
        return self.budget - self.spent - self.reserved
