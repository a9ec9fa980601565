"""First turns of many programs, with inputs as large as the sheet names."""

import asyncio
import itertools
import random

from review.rig3 import world
from review.rig3.case import IS_TROUBLED, main
from review.rig3.client import send

LARGE_BYTES = 100_000  # `max` of `req_bytes` in the site file
USUAL_BYTES = 17_000  # its `mean`
TURNS = 3400  # two disks of four keep each: 170 MB of 440 MB a disk
TURN_GAP_S = 0.02
AFTERWARDS_S = 20.0
USUAL_GAP_S = 0.25
ENDS = 3  # of a process by itself, in the day
MACHINES = 2  # at least
OK = 200


class Case:
    """Programs with large inputs, then usual ones."""

    def __init__(self, record):
        """Keeps the record."""
        self.record = record
        self.deployment = world.World(record, 'fts-booking', fronts=4, stores=4)
        self.models = [self.deployment.add_replica('models') for _ in range(6)]
        self.deployment.add_replica('app')
        self.answered = 0
        self.usual = []

    async def play(self):
        """Returns whether the rule broke."""
        try:
            await self.deployment.start(world.configuration())
            await self.send_large()
            await self.send_usual()
            return self.judge()
        finally:
            self.record.add('most memory, MB', **self.deployment.most_mb)
            self.deployment.stop()

    async def send_large(self):
        """Sends turns with large inputs, one a program."""
        loop = asyncio.get_running_loop()
        size = LARGE_BYTES if IS_TROUBLED else USUAL_BYTES
        began_s = loop.time()
        asked = []
        for number in range(TURNS):
            front = self.deployment.fronts[number % 4].front
            body = random.randbytes(size)
            ask = world.turn(f'large{number:05d}', f'program{number}', body)
            asked.append(asyncio.ensure_future(send(self.record, front, ask)))
            next_s = began_s + (number + 1) * TURN_GAP_S
            await asyncio.sleep(max(0, next_s - loop.time()))
        seen = await asyncio.gather(*asked)
        self.answered = sum(one.is_whole and one.status == OK for one in seen)

    async def send_usual(self):
        """Sends small first turns of other programs, as usual clients do."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + AFTERWARDS_S
        for number in itertools.count():
            if loop.time() > ends_s:
                return
            front = self.deployment.fronts[number % 4].front
            ask = world.turn(
                f'usual{number:05d}', f'usual{number}', b'x' * USUAL_BYTES
            )
            seen = await send(self.record, front, ask)
            self.usual.append(seen.is_whole and seen.status == OK)
            await asyncio.sleep(USUAL_GAP_S)

    def judge(self):
        """Returns whether processes of enough machines ended too often."""
        ends = {node.name: len(node.ends) for node in self.deployment.nodes}
        self.record.add(
            'judged',
            large_turns_answered=self.answered,
            usual_turns=len(self.usual),
            usual_turns_answered=sum(self.usual),
            ends=ends,
            disk_mb={
                node.name: self.deployment.disk_mb(node)
                for node in self.deployment.stores
            },
        )
        return sum(times >= ENDS for times in ends.values()) >= MACHINES


if __name__ == '__main__':
    main(__file__, lambda record: Case(record).play())
