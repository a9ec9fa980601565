"""Stores lose their disks one at a time, after programs with long ids."""

import asyncio
import itertools
import secrets
import shutil

from review.rig3 import world
from review.rig3.case import IS_TROUBLED, main
from review.rig3.client import send

PROGRAMS = 1000
GAP_S = 0.02
LONG_ID_BYTES = 9000  # `max_header_bytes` is 16,384
USUAL_ID_BYTES = 16
DOWN_S = 1.0  # "back within a second"
BETWEEN_S = 15.0  # `catch_up_s` is 4.9
RECOVER_S = 12.0
JUDGED_S = 12.0  # after `recover_s`
USUAL_GAP_S = 0.2
OK = 200


class Case:
    """Two losses of disks, the second one as the final fault."""

    def __init__(self, record):
        """Keeps the record."""
        self.record = record
        self.deployment = world.World(
            record, 'gebeta-ledger', fronts=3, stores=3
        )
        for _ in range(4):
            self.deployment.add_replica('models')
        self.deployment.add_replica('app')
        self.numbers = itertools.count()

    async def play(self):
        """Returns whether the rule broke."""
        try:
            await self.deployment.start(world.configuration())
            return await self.run()
        finally:
            self.record.add('most memory, MB', **self.deployment.most_mb)
            self.deployment.stop()

    async def run(self):
        """Lets programs run, and disks be lost; judges what is served."""
        await self.run_programs()
        first, second, _ = self.deployment.stores
        self.lose(first)
        await asyncio.sleep(DOWN_S)
        self.start_again(first)
        before = await self.send_usual(BETWEEN_S)
        self.record.add('final fault', disk_lost=second.name)
        self.lose(second)
        others = [node for node in self.deployment.nodes if node is not second]
        for node in others:
            self.deployment.end(node)
        await asyncio.sleep(DOWN_S)
        for node in (second, *others):
            self.start_again(node)
        during = await self.send_usual(RECOVER_S)
        after = await self.send_usual(JUDGED_S)
        self.record.add(
            'judged',
            served_before=f'{sum(before)} of {len(before)}',
            served_until_recover_s=f'{sum(during)} of {len(during)}',
            served_after=f'{sum(after)} of {len(after)}',
            ends={node.name: len(node.ends) for node in self.deployment.nodes},
        )
        return sum(before) * 4 >= len(before) and sum(after) * 4 < len(after)

    def lose(self, node):
        """Kills a store; its disk is empty when it starts again."""
        self.deployment.end(node)
        shutil.rmtree(self.deployment.folder / f'{node.name}.data')
        self.record.add('disk lost', node=node.name)

    def start_again(self, node):
        """Starts a process that was killed, at its address."""
        self.deployment.spawn(node)
        node.kept_down = False

    async def run_programs(self):
        """Sends one small turn of each of many programs."""
        size = LONG_ID_BYTES if IS_TROUBLED else USUAL_ID_BYTES
        asked = []
        for _ in range(PROGRAMS):
            program = secrets.token_hex(size // 2)
            asked.append(asyncio.ensure_future(self.turn(program)))
            await asyncio.sleep(GAP_S)
        served = sum(await asyncio.gather(*asked))
        self.record.add('programs served', served=served, of=PROGRAMS)

    async def send_usual(self, for_s):
        """Sends first turns of usual programs; returns which were served."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + for_s
        asked = []
        while loop.time() < ends_s:
            turn = self.turn(f'usual{len(asked)}')
            asked.append(asyncio.ensure_future(turn))
            await asyncio.sleep(USUAL_GAP_S)
        return await asyncio.gather(*asked)

    async def turn(self, program):
        """Sends a first turn; returns whether it was served."""
        number = next(self.numbers)
        fronts = self.deployment.fronts
        ask = world.turn(f't{number:07d}', program, b'hello', events=1)
        ask['line'] = 'POST /turn/x'
        ask['fields']['X-Cactusledge-Session-Id'] = 's'
        seen = await send(self.record, fronts[number % len(fronts)].front, ask)
        return seen.is_whole and seen.status == OK


if __name__ == '__main__':
    main(__file__, lambda record: Case(record).play())
