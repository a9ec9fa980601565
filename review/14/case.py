"""A program whose turns are large, but within the limits of what is sent."""

import asyncio
import itertools
import random

from review.rig3 import world
from review.rig3.case import IS_TROUBLED, main
from review.rig3.client import send

TURNS = 11  # "about 11 turns a program" (SYSTEM.md)
LARGE_BYTES = 4_000_000  # `max_body_bytes` is 4,194,304
USUAL_BYTES = 17_000
TRIES = 6
TRY_GAP_S = 4.0
FIRST_TURN_GAP_S = 0.12
AIM_S = 100
RETENTION_S = 60
OK = 200


class Case:
    """One program, and first turns of other programs meanwhile."""

    def __init__(self, record):
        """Keeps the record."""
        self.record = record
        self.deployment = world.World(
            record, 'gebeta-ledger', fronts=4, stores=3
        )
        self.models = [self.deployment.add_replica('models') for _ in range(4)]
        self.deployment.add_replica('app')
        self.first_turns = []  # request ids
        self.asked = []  # their tasks
        self.places = itertools.cycle(self.deployment.fronts)

    def has_run(self, request_id):
        """Returns whether a replica began to work on a request."""
        return any(request_id in model.runs for model in self.models)

    async def play(self):
        """Returns whether the rule broke."""
        try:
            await self.deployment.start(world.configuration())
            return await self.run_program()
        finally:
            self.record.add('most memory, MB', **self.deployment.most_mb)
            self.deployment.stop()

    async def run_program(self):
        """Runs the program up to a turn that fails; continues it again."""
        loop = asyncio.get_running_loop()
        self.aim_s = loop.time() + AIM_S
        size = LARGE_BYTES if IS_TROUBLED else USUAL_BYTES
        previous = ''
        for number in range(TURNS):
            seen = await self.turn(f't{number:07d}', previous, size)
            if not (seen.is_whole and seen.status == OK):
                break
            previous = f't{number:07d}'
            answered_s = loop.time()
        return await self.try_again(previous, answered_s)

    async def turn(self, request_id, previous, size):
        """Sends a turn of the program to the next front."""
        left_s = self.aim_s - asyncio.get_running_loop().time()
        ask = world.turn(
            request_id,
            'program',
            random.randbytes(size),
            previous=previous,
            **{'X-Cactusledge-Finish-Ms': int(left_s * 1000)},
        )
        return await send(self.record, next(self.places).front, ask)

    async def try_again(self, previous, answered_s):
        """Continues the last whole turn by a small one, several times."""
        loop = asyncio.get_running_loop()
        others = asyncio.ensure_future(self.send_first_turns())
        tries = [f'again{number:04d}' for number in range(TRIES)]
        for request_id in tries:
            await asyncio.sleep(TRY_GAP_S)
            await self.turn(request_id, previous, USUAL_BYTES)
        took_s = loop.time() - answered_s
        await asyncio.sleep(1)
        others.cancel()
        reached = sum(map(self.has_run, self.first_turns))
        tries_run = sum(map(self.has_run, tries))
        ends = sum(len(node.ends) for node in self.deployment.nodes)
        self.record.add(
            'judged',
            tries=len(tries),
            tries_run=tries_run,
            first_turns=len(self.first_turns),
            first_turns_run=reached,
            since_answered_s=round(took_s, 1),
            processes_ended=ends,
        )
        return (
            not tries_run
            and took_s < RETENTION_S
            and reached >= 0.9 * len(self.first_turns)
        )

    async def send_first_turns(self):
        """Sends the first turns of other programs to all fronts in turn."""
        for number in itertools.count():
            request_id = f'first{number:05d}'
            self.first_turns.append(request_id)
            front = self.deployment.fronts[number % 4].front
            ask = world.turn(request_id, f'other{number}', b'x' * USUAL_BYTES)
            asked = asyncio.ensure_future(send(self.record, front, ask))
            self.asked.append(asked)
            await asyncio.sleep(FIRST_TURN_GAP_S)


if __name__ == '__main__':
    main(__file__, lambda record: Case(record).play())
