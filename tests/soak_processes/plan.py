"""The plan of a run: series of events, drawn from the seed alone."""

import random
from typing import NamedTuple

from tests.soak_processes.link import LinkFault

FIRST_S = 4.0  # of traffic before the first event
CALM_SHARE = 0.55  # of a run with planned work only
PER_CENT = 100


class Event(NamedTuple):
    """One event; its target is chosen by `pick` when it begins."""

    at_s: float
    series: str
    action: str
    role: str
    pick: int
    length_s: float = 0
    detail: str = ''


class Series(NamedTuple):
    """Events that follow each other; series overlap."""

    name: str
    actions: tuple[tuple[str, str], ...]  # action and role, drawn from
    gap_s: tuple[float, float]
    is_planned: bool = True


SERIES = (
    Series('gateways', (('roll', 'front'),), (0.5, 6)),
    Series('endpoints', (('roll', 'engine'), ('roll', 'tool')), (2, 10)),
    Series(
        'stores',
        tuple(
            (action, 'store')
            for action in (
                'roll',
                'roll',
                'add',
                'retire',
                'replace',
            )
        ),
        (2, 8),
    ),
    Series('configuration', (('publish', 'platform'),), (1, 6)),
    Series('reloads', (('reload', 'front'), ('reload', 'store')), (0.2, 5)),
    Series(
        'crashes',
        tuple(
            (action, role)
            for action in ('kill', 'pause')
            for role in ('front', 'store', 'engine', 'tool')
        ),
        (2, 8),
        is_planned=False,
    ),
    Series(
        'links',
        (
            ('cut platform link', 'front'),
            ('cut platform link', 'store'),
            ('cut callers link', 'store'),
            ('cut callers link', 'engine'),
            ('cut callers link', 'tool'),
        ),
        (1, 8),
        is_planned=False,
    ),
    Series(
        'watches',
        tuple(
            ('silence platform connections', role)
            for role in ('front', 'store')
        ),
        (2, 8),
        is_planned=False,
    ),
)


def draw_plan(seed, duration_s, names=()):
    """Returns the events of a seed in the order of their times.

    Each series is drawn by itself, so that a failing plan can be shortened to
    the series with the given names.
    """
    events = []
    for series in SERIES:
        if names and series.name not in names:
            continue
        draw = random.Random(f'{seed} {series.name}')
        is_calm = series.is_planned
        at_s = FIRST_S if is_calm else duration_s * CALM_SHARE
        at_s += draw.uniform(*series.gap_s)
        while at_s < duration_s:
            events.append(_event(series, at_s, draw))
            at_s += draw.uniform(*series.gap_s)
    return sorted(events)


def _event(series, at_s, draw):
    action, role = draw.choice(series.actions)
    is_link = action.startswith('cut')
    fault = draw.choice(tuple(LinkFault)) if is_link else ''
    pick = draw.randrange(PER_CENT)
    length_s = round(draw.uniform(0.1, 3), 2)
    name = series.name
    return Event(round(at_s, 2), name, action, role, pick, length_s, str(fault))
