"""A store is replaced while the system starts for the first time."""

import asyncio
import itertools
import time
from pathlib import Path

from lab.clients import Answer, Request, ask
from lab.scenario import (
    CannotRunError,
    Lab,
    configuration,
    play,
    turn_route,
)
from lab.servers import Work

ZONES = ['z-a', 'z-b', 'z-c', 'z-d']
SUCCESSOR_AFTER_S = 2.0  # as `replace_core` on a store
CATCH_UP_S = 4.6
RECOVER_S = 12.0
TURNS = 60
PAUSE_S = 0.25
REGISTERED_WAIT_S = 20.0
_programs = itertools.count(1)


def plan(head, body) -> Work:
    """Returns a short stream for every turn."""
    return Work(events=14, pace_s=0.01, first_s=0.02)


def turn() -> Request:
    """Returns the first turn of a program."""
    program = f'{next(_programs):06x}'
    fields = (
        ('X-Cactusledge-Model', 'm'),
        ('X-Cactusledge-Program-Id', program),
        ('X-Cactusledge-Session-Id', program),
        ('X-Cactusledge-Finish-Ms', '8000'),
        ('X-Cactusledge-Token-Budget', '6000'),
        ('X-Cactusledge-Token-Usage', '1680,576'),
    )
    return Request('/itin/2f', b'p' * 17_000, fields)


async def registered(lab: Lab, count: int) -> None:
    """Waits until the stores have written to the platform's store."""
    ends_s = time.monotonic() + REGISTERED_WAIT_S
    while len(lab.platform.names('record-stores')) < count:
        if time.monotonic() > ends_s:
            raise CannotRunError('the stores have not registered')
        await asyncio.sleep(0.005)


async def replace_first(lab: Lab) -> None:
    """Takes a store away for good; an empty one comes at another address."""
    await registered(lab, len(lab.fleet.stores))
    gone = lab.fleet.stores[0]
    lab.note(f'the platform has {lab.platform.names("record-stores")}')
    gone.kill()
    gone.lose_disk()
    lab.note(f'{gone.name} is gone for good')
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    successor = lab.fleet.add('store', gone.zone)
    successor.is_first_start = False
    successor.start()
    lab.note(f'{successor.name}, empty, is started at another address')


def note(lab: Lab, front: str, seen: Answer) -> None:
    """Writes down what was sent, answered and run."""
    lab.note(
        f'first turn {seen.request} to {front}: status {seen.status}, whole '
        f'{seen.is_whole}, run {len(lab.runs_of(seen.request))} times '
        f'{seen.error}'
    )


async def case(folder: Path, started: list[Lab]) -> bool:
    """Returns whether the rule held."""
    lab = Lab(folder, ZONES)
    started.append(lab)
    for zone in ZONES:
        lab.fleet.add('store', zone)
        lab.fleet.add('front', zone)
        lab.add_server('agent-llm', zone, plan)
    await lab.begin(
        configuration([turn_route('itin', 'agent-llm')], ['agent-llm'])
    )
    lab.note('all machines are started for the first time')
    if lab.has_trouble:
        await replace_first(lab)
    await asyncio.sleep(CATCH_UP_S + RECOVER_S)
    served = 0
    for number in range(TURNS):
        front = lab.fleet.fronts[number % len(lab.fleet.fronts)]
        seen = await ask(front.address, turn())
        note(lab, front.name, seen)
        served += seen.status == 200 and seen.is_whole
        await asyncio.sleep(PAUSE_S)
    group = lab.platform.read('record-groups', 'main')
    lab.note(f'group of stores at the platform: {group and group["spec"]}')
    lab.note(f'{served} of {TURNS} requests served')
    return served > 0


if __name__ == '__main__':
    play(__file__, case)
