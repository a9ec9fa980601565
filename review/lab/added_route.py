"""A route to a new service is added while a foreign entry lies in the list."""

import asyncio
import itertools
import time
from pathlib import Path

from lab.clients import Answer, Channel, Request
from lab.scenario import Lab, configuration, turn_route
from lab.servers import Work

ZONES = ['z-a', 'z-b', 'z-c', 'z-d']
FIRST, ADDED = 'itin', 'notes'
REQUESTS = 40  # on each route; the rule asks for 20
SETTLE_S = 6.0  # config_apply_ms and stable_window_ms, and a second more
MARGIN = 4  # served less than a quarter as often breaks the rule
_programs = itertools.count(1)


def plan(head, body) -> Work:
    """Returns a short stream for every turn."""
    return Work(events=14, pace_s=0.01, first_s=0.02)


def turn(route: str) -> Request:
    """Returns the first turn of a program."""
    program = f'{next(_programs):06x}'
    fields = (
        ('X-Cactusledge-Model', 'm'),
        ('X-Cactusledge-Program-Id', program),
        ('X-Cactusledge-Session-Id', program),
        ('X-Cactusledge-Finish-Ms', '8000'),
        ('X-Cactusledge-Token-Budget', '2600'),
        ('X-Cactusledge-Token-Usage', '1680,576'),
    )
    return Request(f'/{route}/2f', b'p' * 17_000, fields)


async def play_added_route(
    folder: Path, started: list[Lab], foreign: tuple[str, object]
) -> bool:
    """Plays the case; returns whether the rule held.

    `foreign` is the name of the entry that another writer leaves in the list
    of servers, and what it holds.
    """
    lab = Lab(folder, ZONES)
    started.append(lab)
    for zone in ZONES:
        lab.fleet.add('store', zone)
        lab.fleet.add('front', zone)
        lab.add_server('agent-llm', zone, plan)
    first = configuration([turn_route(FIRST, 'agent-llm')], ['agent-llm'])
    await lab.start(first)
    lab.note('all fronts are ready')
    await send_all(lab, FIRST, 'before')
    if lab.has_trouble:
        await lab.platform.put('servers', *foreign)
        lab.note(f'another writer has put servers/{foreign[0]}: {foreign[1]!a}')
    await asyncio.sleep(1)
    for zone in ZONES:
        await lab.add_server('agent-new', zone, plan).start()
    routes = [turn_route(FIRST, 'agent-llm'), turn_route(ADDED, 'agent-new')]
    second = configuration(routes, ['agent-llm', 'agent-new'])
    await lab.platform.put('config', 'main', {**second, 'version': 2})
    lab.note('the operator has added a service and a route to it: version 2')
    await asyncio.sleep(SETTLE_S)
    on_first = await send_all(lab, FIRST, 'after')
    on_added = await send_all(lab, ADDED, 'after')
    return on_added * MARGIN >= on_first


async def send_all(lab: Lab, route: str, when: str) -> int:
    """Sends turns on a route through all fronts; returns how many succeed."""
    served = 0
    for number in range(REQUESTS):
        front = lab.fleet.fronts[number % len(lab.fleet.fronts)]
        channel = Channel(*front.address)
        await channel.open()
        seen = await channel.send(turn(route))
        channel.close()
        served += seen.status == 200 and seen.is_whole
        note(lab, route, front.name, seen)
    lab.note(f'{when}: {route}: {served} of {REQUESTS} served')
    return served


def note(lab: Lab, route: str, front: str, seen: Answer) -> None:
    """Writes down what was sent, answered and run."""
    took_ms = round((time.monotonic() - seen.sent_s) * 1000)
    runs = [run.server for run in lab.runs_of(seen.request)]
    lab.note(
        f'{route} {seen.request} to {front}: status {seen.status}, '
        f'whole {seen.is_whole}, {seen.events} events, {took_ms} ms, '
        f'run by {runs} {seen.error}'
    )
