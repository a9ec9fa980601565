"""The request to begin a turn, and the store requests that it needs."""

from typing import NamedTuple

from cactusledge.records.entries import RETENTION_S, Group
from cactusledge.records.messages import Query
from cactusledge.records.quorum import Demand


class TurnStart(NamedTuple):
    """A request to begin a turn."""

    demand: Demand
    program_id: str
    wants_chain: bool
    retention_s: float = RETENTION_S  # of the turn and its program

    @property
    def is_first(self) -> bool:
        """Whether it begins a chain, and so a program as a rule."""
        return not self.demand.parent_id

    @property
    def is_free(self) -> bool:
        """Whether the stores have nothing to decide: no budget, no parent."""
        return self.demand.budget is None and not self.demand.parent_id


def program_query(group: Group, start: TurnStart) -> Query:
    """Returns the request for what a program has spent."""
    return Query(
        group.generation,
        start.program_id,
        start.demand.parent_id,
        wants_chain=False,
        shard=group.shard,
    )


def chain_query(group: Group, start: TurnStart, last_id: str) -> Query:
    """Returns the request for the chain that ends with a turn."""
    return Query(
        group.generation,
        start.program_id,
        last_id,
        wants_chain=True,
        shard=group.shard,
    )
