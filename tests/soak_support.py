"""Checks and helpers of the soak test."""

import errno
from collections import Counter
from contextlib import contextmanager
from typing import NamedTuple

import pytest

from cactusledge.records import disk
from cactusledge.records.entries import Turn
from cactusledge.records.quorum import Demand, Verdict
from cactusledge.records.turn_start import TurnStart

BUDGET = 300  # tokens per program


class DurableTurn(NamedTuple):
    """A turn that was reported durable to its caller."""

    turn_id: str
    parent_id: str
    program_id: str


class GuaranteeChecker:
    """Tracks what callers were told, and collects violated guarantees."""

    def __init__(self):
        self.durable_turns = {}
        self.spent_tokens = Counter()  # delivered, by program
        self.reserved_tokens = Counter()  # that a store may still count
        self.violations = []
        self.verdicts = Counter()

    def check_grant(self, start, grant):
        """Checks the verdict on a turn's start."""
        self.verdicts[grant.verdict.value] += 1
        demand, program_id = start.demand, start.program_id
        if grant.verdict is Verdict.NO_PARENT:
            self._check(
                demand.parent_id not in self.durable_turns, 'denied', demand
            )
        highest_reserved = self.reserved_tokens[program_id] + demand.tokens
        if grant.verdict is Verdict.SPENT:
            self._check(highest_reserved > BUDGET, 'refused early', demand)
        self.reserved_tokens[program_id] += demand.tokens

    def count_spent(self, start, tokens):
        """Counts the tokens that a turn has delivered to its caller."""
        program_id = start.program_id
        self.spent_tokens[program_id] += tokens
        total = self.spent_tokens[program_id]
        self._check(total <= BUDGET, 'overdrawn', (program_id, total))

    def _check(self, holds, guarantee, what):
        if not holds:
            self.violations.append((guarantee, what))


def is_settled(node, group):
    """Whether a store is connected, a witness and has its texts."""
    peers = node.group_manager.peers.connected()
    if node.store.group != group or len(peers) < len(group.members) - 1:
        return False
    is_restored = (
        node.group_manager._restorer._restored_group is node.store.group
    )
    return node.is_witness and is_restored


def has_text(node, turn_id):
    """Whether a store has the text of a turn."""
    return node.store.log.state.has_text(turn_id)


def state_of(node):
    """Returns the state that `is_settled` checks, for a failure report."""
    group = node.store.group
    return {
        'store': node.name,
        'group': (group.generation, sorted(group.members)),
        'durable_generation': node.store.adopted_group.durable_generation,
        'is_witness': node.is_witness,
        'is_restored': node.group_manager._restorer._restored_group is group,
        'peers': sorted(
            peer.name for peer in node.group_manager.peers.connected()
        ),
    }


def full_disks(folders):
    """Makes writes fail for the data folders in the set."""
    write = disk.DiskActor._write

    def refuse_or_write(actor, content):
        if actor._folder in folders:
            raise OSError(errno.ENOSPC, 'no space left on device')
        write(actor, content)

    return replaced_attribute(disk.DiskActor, '_write', refuse_or_write)


@contextmanager
def replaced_attribute(owner, name, replacement):
    """Replaces an attribute for the duration of a `with` block."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(owner, name, replacement)
        yield


def turn_start(program_id, turn_id, parent_id, tokens):
    demand = Demand(turn_id, tokens, BUDGET, parent_id)
    return TurnStart(demand, program_id, wants_chain=False)


def turn_of(start, tokens):
    """Returns the record of a turn; its text is its id."""
    demand = start.demand
    text = demand.turn_id.encode()
    return Turn(
        demand.turn_id,
        demand.parent_id,
        start.program_id,
        text,
        text,
        tokens,
        'engine-1',
        (),
    )
