"""Exhaustive check of concurrent reservations of one program.

The search runs the real decision functions for every order in which requests
reach the stores and every subset of stores that replies in time. A reservation
that arrives after its round has ended is left out: it can only increase the
sums that others see.
"""

import functools
from operator import itemgetter
from typing import NamedTuple

import pytest

from cactusledge.records.entries import Member
from cactusledge.records.membership import first_group
from cactusledge.records.messages import ReserveReply
from cactusledge.records.quorum import (
    Demand,
    Verdict,
    decide,
    is_complete_round,
    quorum,
)
from tests.model_search import search

TURNS = ('t0', 't1', 't2')
STORES = ('s0', 's1', 's2')
GROUP = first_group(
    {name: Member('10.0.0.1:1', name) for name in STORES}, copies=2
)
TOKENS = 1
OPEN_PHASES = frozenset(('reserving', 'confirming'))
BUDGET = 2  # holds two of the three turns


class TurnState(NamedTuple):
    """A turn and the replies of its present round."""

    phase: str = 'reserving'  # reserving, confirming, granted, refused
    views: tuple = ()  # (store, turns seen there) of the present round


class World(NamedTuple):
    """The stores' reservations and the turns."""

    held: tuple  # per store: the turns whose reservation it holds
    turns: tuple


def successors(world, *, confirms):
    """Yields every possible next state."""
    for index, turn in enumerate(world.turns):
        yield from deliveries(world, index, turn)
        if turn.phase in OPEN_PHASES:
            yield from endings(world, index, turn, confirms=confirms)


def deliveries(world, index, turn):
    """Yields the states after a store handles a turn's request."""
    answered = dict(turn.views)
    for place, store in enumerate(STORES):
        if store in answered or turn.phase not in OPEN_PHASES:
            continue
        held = world.held[place]
        if turn.phase == 'reserving':
            held |= {TURNS[index]}
        views = (*turn.views, (store, held))
        yield replace(world, index, turn._replace(views=views), place, held)


def endings(world, index, turn, *, confirms):
    """Yields the state after the round ends; needs a quorum of replies."""
    if len(turn.views) < quorum(GROUP):
        return
    phase = 'refused'
    if verdict_of(index, turn.views) is Verdict.GRANTED:
        is_last = turn.phase == 'confirming' or not confirms
        is_last = is_last or is_complete_round(len(turn.views), GROUP)
        phase = 'granted' if is_last else 'confirming'
    yield replace(world, index, turn._replace(phase=phase, views=()))


@functools.cache
def verdict_of(index, views):
    replies = {
        store: ReserveReply(
            is_witness=True,
            spent=dict.fromkeys(seen, (TOKENS, False)),
            knows_parent=False,
            chain=[],
        )
        for store, seen in views
    }
    demand = Demand(TURNS[index], TOKENS, BUDGET, '')
    return decide(demand, replies, quorum(GROUP))


def replace(world, index, turn, place=None, held=None):
    """Returns the state with one turn, and optionally one store, changed."""
    turns = list(world.turns)
    turns[index] = turn._replace(
        views=tuple(sorted(turn.views, key=itemgetter(0)))
    )
    stores = list(world.held)
    if place is not None:
        stores[place] = held
    return World(tuple(stores), tuple(turns))


def play(*, confirms):
    """Returns the number of states, and an overdrawn one if there is."""
    start = World((frozenset(),) * len(STORES), (TurnState(),) * len(TURNS))
    follow = functools.partial(successors, confirms=confirms)
    return search(start, follow, is_overdrawn)


def is_overdrawn(world):
    granted = sum(turn.phase == 'granted' for turn in world.turns)
    return granted * TOKENS > BUDGET


@pytest.mark.timeout(600)
def test_turns_that_race_do_not_overdraw():
    count, overdrawn = play(confirms=True)
    assert overdrawn is None
    assert count > 10000


def test_without_the_second_round_three_turns_overdraw():
    _, overdrawn = play(confirms=False)
    assert overdrawn is not None
