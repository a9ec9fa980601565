"""Reads what record stores say of their groups from their metrics."""

from collections.abc import Iterable
from itertools import groupby
from operator import attrgetter
from typing import NamedTuple

import urllib3
from prometheus_client.parser import text_string_to_metric_families

from cactusledge.models import Address

HTTP_OK = 200
PREFIX = 'cactusledge_records_'


class StoreState(NamedTuple):
    """What a store says of the group that it is a member of."""

    address: str
    shard: str = ''
    generation: int = 0
    losses_borne: int = 0  # further losses of stores for good
    unconfirmed_texts: int = 0  # texts that may lack a copy elsewhere
    is_complete: bool = False  # it has all records that it should know of
    problem: str = ''  # why it says nothing


class GroupState(NamedTuple):
    """What the stores of a group say together."""

    shard: str
    stores: int
    generations: tuple[int, ...]  # more than one during a change
    losses_borne: int  # the least of what they say
    unconfirmed_texts: int
    incomplete: tuple[str, ...]  # addresses


def fetch_state(address: Address, timeout_s: float) -> StoreState:
    """Returns what the store at an address of metrics says."""
    url = f'http://{address}/metrics'
    try:
        reply = urllib3.request('GET', url, timeout=timeout_s, retries=False)
    except urllib3.exceptions.HTTPError as exc:
        return StoreState(str(address), problem=str(exc))
    if reply.status != HTTP_OK:
        return StoreState(str(address), problem=f'status {reply.status}')
    try:
        return read_state(str(address), reply.data.decode())
    except (KeyError, ValueError) as exc:
        return StoreState(str(address), problem=f'no store metrics: {exc}')


def read_state(address: str, text: str) -> StoreState:
    """Returns what a page of metrics says.

    Raises:
        KeyError: A metric of stores is missing.
        ValueError: The page cannot be parsed.
    """
    samples = {
        sample.name.removeprefix(PREFIX): sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    borne = samples['losses_borne']
    return StoreState(
        address,
        borne.labels['shard'],
        int(samples['generation'].value),
        int(borne.value),
        int(samples['unconfirmed_texts'].value),
        bool(samples['witness'].value),
    )


def group_states(states: Iterable[StoreState]) -> list[GroupState]:
    """Returns the groups of the stores that answered, by shard."""
    answered = (state for state in states if not state.problem)
    by_shard = sorted(answered, key=attrgetter('shard'))
    return [
        _group_state(shard, tuple(members))
        for shard, members in groupby(by_shard, key=attrgetter('shard'))
    ]


def _group_state(shard: str, members: tuple[StoreState, ...]) -> GroupState:
    return GroupState(
        shard,
        len(members),
        tuple(sorted({member.generation for member in members})),
        min(member.losses_borne for member in members),
        sum(member.unconfirmed_texts for member in members),
        tuple(member.address for member in members if not member.is_complete),
    )
