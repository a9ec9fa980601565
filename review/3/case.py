"""A store misses turns; the next one is replaced, a third loses its disk."""

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

ZONES = ['z-a', 'z-b', 'z-c']
TURNS = 40
KILLED_S = 2.8  # as `node_kill` on a store in the sheets' site files
SUCCESSOR_AFTER_S = 2.0  # as `replace_core` on a store
WIPED_S = 2.0  # as `after_ack_wipe` on a store
CATCH_UP_S = 4.9
SETTLED_S = 9.0  # catch_up_s, stable_window_ms and a second more
TRIES = 6  # the rule asks for five or more
PAUSE_S = 0.5
AIM_MS = 8000
RETENTION_S = 60.0  # later tries don't count
_programs = itertools.count(1)


def plan(head, body) -> Work:
    """Returns a short stream for every turn."""
    return Work(events=14, pace_s=0.01, first_s=0.02)


def turn(program: str, parent: str = '') -> Request:
    """Returns a turn of a program."""
    fields = [
        ('X-Cactusledge-Model', 'm'),
        ('X-Cactusledge-Program-Id', program),
        ('X-Cactusledge-Session-Id', program),
        ('X-Cactusledge-Finish-Ms', str(AIM_MS)),
        ('X-Cactusledge-Token-Budget', '6000'),
        ('X-Cactusledge-Token-Usage', '1680,576'),
    ]
    if parent:
        fields.append(('X-Cactusledge-Previous-Turn', parent))
    return Request('/itin/2f', program.encode() * 100, tuple(fields))


def new_program() -> str:
    """Returns the id of a program."""
    return f'{next(_programs):06x}'


async def first_turns(lab: Lab, fronts: list, when: str) -> dict[str, Answer]:
    """Sends first turns; returns those answered whole, by program."""
    programs = [new_program() for _ in range(TURNS)]
    answers = await asyncio.gather(
        *(
            ask(fronts[number % len(fronts)].address, turn(program))
            for number, program in enumerate(programs)
        )
    )
    whole = {}
    for program, seen in zip(programs, answers, strict=True):
        lab.note(
            f'{when}: first turn {seen.request} of program {program}: status '
            f'{seen.status}, whole {seen.is_whole}, run '
            f'{len(lab.runs_of(seen.request))} times {seen.error}'
        )
        if seen.status == 200 and seen.is_whole:
            whole[program] = seen
    lab.note(f'{when}: {len(whole)} of {TURNS} first turns answered whole')
    return whole


async def continues(lab: Lab, fronts, program: str, parent: Answer) -> bool:
    """Continues a turn; returns whether the rule held for it."""
    began_s = time.monotonic()
    seen: list[Answer] = []
    while len(seen) < TRIES:
        front = fronts[len(seen) % len(fronts)]
        seen.append(await ask(front.address, turn(program, parent.request)))
        if lab.runs_of(seen[-1].request):
            break
        await asyncio.sleep(float(seen[-1].retry_after or PAUSE_S))
    has_run = any(lab.runs_of(one.request) for one in seen)
    age_s = began_s - parent.ended_s
    took_s = time.monotonic() - began_s
    lab.note(
        f'program {program} goes on from turn {parent.request}, answered whole '
        f'{age_s:.1f} s before, in {fronts[0].zone}: statuses '
        f'{[one.status for one in seen]} in {took_s:.1f} s; '
        f'{"reached a replica" if has_run else "reached no replica"}'
    )
    return has_run or age_s + took_s >= RETENTION_S


def members(lab: Lab) -> list[str]:
    """Returns the stores in the group that the system has published."""
    found = lab.platform.read('record-groups', 'main')
    return sorted(found['spec']['members']) if found else []


async def disturb(lab: Lab, missed_by, gone, wiped) -> None:
    """Replaces a store; then another loses its disk. One loss at a time."""
    gone.kill()
    gone.lose_disk()
    lab.note(f'{gone.name} is gone for good')
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    successor = lab.fleet.add('store', gone.zone)
    successor.is_first_start = False
    successor.start()
    lab.note(f'{successor.name}, empty, is started at another address')
    await asyncio.sleep(CATCH_UP_S + SETTLED_S)
    lab.note(f'the group is {members(lab)}')
    wiped.kill()
    wiped.lose_disk()
    lab.note(f'{wiped.name} has lost its disk')
    await asyncio.sleep(WIPED_S)
    wiped.start()
    lab.note(f'{wiped.name} is started with an empty disk')
    await asyncio.sleep(CATCH_UP_S + SETTLED_S)
    lab.note(f'the group is {members(lab)}')


async def case(folder: Path, started: list[Lab]) -> bool:
    """Returns whether the rule held."""
    lab = Lab(folder, ZONES)
    started.append(lab)
    for zone in ZONES:
        lab.fleet.add('store', zone)
        lab.fleet.add('front', zone)
        lab.add_server('agent-llm', zone, plan)
    lab.fleet.add('front', ZONES[-1])
    await lab.start(
        configuration([turn_route('itin', 'agent-llm')], ['agent-llm'])
    )
    lab.note('all fronts are ready')
    gone, wiped, missed_by = lab.fleet.stores
    if lab.has_trouble:
        missed_by.kill()
        killed_s = time.monotonic()
        lab.note(f'{missed_by.name} is killed; it keeps its disk')
        await asyncio.sleep(0.8)
    # The lines of turns go on in the last zone, as the page says of some.
    turns = await first_turns(lab, lab.fleet.fronts[:2], 'before')
    if lab.has_trouble:
        await asyncio.sleep(killed_s + KILLED_S - time.monotonic())
        missed_by.start()
        lab.note(f'{missed_by.name} is started again with its disk')
        await asyncio.sleep(CATCH_UP_S + SETTLED_S)
        await disturb(lab, missed_by, gone, wiped)
    fresh = await first_turns(lab, lab.fleet.fronts, 'after')
    if len(turns) < TURNS // 2 or len(fresh) < TURNS * 0.9:
        raise CannotRunError('too few first turns were answered')
    others = lab.fleet.fronts[2:]
    reached = await asyncio.gather(
        *(
            continues(lab, others, program, parent)
            for program, parent in turns.items()
        )
    )
    lab.note(
        f'{reached.count(False)} of {len(reached)} answered turns reached no '
        f'replica in {TRIES} tries'
    )
    return all(reached)


if __name__ == '__main__':
    play(__file__, case)
