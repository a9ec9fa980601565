"""Stores that are lost for good, one after the other, in real processes.

`python -m tests.store_losses --stores 4 --losses 4` plays a series and prints
how many of the turns that were answered whole can be continued at its end.
"""

import asyncio
import itertools
import random
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import typer
import urllib3

from tests.soak_processes import documents
from tests.soak_processes.exchange import Ask, Channel, Seen, exchange
from tests.test_silent_watches import Deployment

ENDPOINTS = ('tool', 'engine', 'engine')
FRONTS = 3
CATCH_UP_S = 4.6  # a new store counts as lost for so long after its start
SUCCESSOR_AFTER_S = 2.0
TURN_PAUSE_S = 0.05
SETTLED_S = 4.0  # after the last change
TRIES = 6
TRY_PAUSE_S = 0.5
GAUGE_INTERVAL_S = 1.5  # after which the stores' metrics are up to date
LONGEST_WAIT_S = 30.0  # until another loss is borne
MOST_CONTINUED = 400
OK = 200


class Plan(NamedTuple):
    """A series of losses, and the turns that are sent meanwhile."""

    stores: int
    losses: int
    # After the start of each successor; below 0, until all stores say that
    # another loss is borne.
    rest_s: float = CATCH_UP_S
    senders: int = 1
    body_bytes: int = 0  # of each turn's input
    is_stopped: bool = False  # by SIGTERM, not SIGKILL
    # Which store is lost, in turn; 0 is the first by name, -1 the last.
    places: tuple[int, ...] = (0,)


class Turns:
    """First turns of programs, sent until told to stop."""

    def __init__(self, deployment, body_bytes=0):
        """Starts without a turn; their inputs have at least so many bytes."""
        self._body_bytes = body_bytes
        self.whole = {}  # answered whole: when, by id
        self.refused = []  # when first tries were not answered whole
        self._fronts = itertools.cycle(deployment.fronts)
        self._number = itertools.count(1)

    async def send_until(self, stopped):
        """Sends one turn after the other."""
        loop = asyncio.get_running_loop()
        while not stopped.is_set():
            seen, ask = await self.send()
            if is_answered(seen):
                self.whole[ask.id] = loop.time()
            else:
                self.refused.append(loop.time())
            await asyncio.sleep(TURN_PAUSE_S)

    async def send(self, parent=''):
        """Sends a turn to the next gateway; returns what was seen of it."""
        name = f't{next(self._number)}'
        body = name.ljust(self._body_bytes, 'x')
        ask = Ask(name, f'p-{name}', 'turns', body, events=2, parent=parent)
        return await send(next(self._fronts), ask), ask

    async def is_continued(self, parent):
        """Returns whether one of several tries continues a turn."""
        for _ in range(TRIES):
            seen, _ = await self.send(parent)
            if is_answered(seen):
                return True
            await asyncio.sleep(TRY_PAUSE_S)
        return False

    async def lost(self):
        """Returns those of a draw of the whole turns that do not go on."""
        draw = random.Random(0)
        count = min(MOST_CONTINUED, len(self.whole))
        chosen = draw.sample(sorted(self.whole), count)
        went_on = await asyncio.gather(*map(self.is_continued, chosen))
        return [
            one
            for one, goes_on in zip(chosen, went_on, strict=True)
            if not goes_on
        ]


class Losses:
    """Loses stores for good, each of which gets a successor."""

    def __init__(self, deployment, *, is_stopped):
        """Loses stores by SIGKILL, or by SIGTERM if `is_stopped`."""
        self.notes = []
        self._fleet = deployment.fleet
        self._is_stopped = is_stopped
        self._began_s = asyncio.get_running_loop().time()

    async def lose(self, store, rest_s):
        """Loses a store and starts its successor; returns `rest_s` later."""
        end = self._fleet.terminate if self._is_stopped else self._fleet.kill
        await end(store)
        self._fleet.nodes.pop(store.name)
        self._note(f'{store.name} is gone for good')
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        successor = self._fleet.new_node('store', store.zone)
        successor.is_first_start = False
        await self._fleet.start(successor)
        self._note(f'{successor.name} is started')
        if rest_s < 0:
            await self._until_borne()
        await asyncio.sleep(max(0, rest_s))

    async def _until_borne(self):
        """Waits until all stores say that they bear another loss."""
        async with asyncio.timeout(LONGEST_WAIT_S):
            await asyncio.sleep(GAUGE_INTERVAL_S)
            while not await self._is_borne():
                await asyncio.sleep(TRY_PAUSE_S)
        self._note('another loss is borne')

    async def _is_borne(self):
        stores = self._fleet.of_role('store')
        told = await asyncio.gather(
            *(asyncio.to_thread(losses_borne, store) for store in stores)
        )
        return min(told) > 0

    def _note(self, text):
        now_s = asyncio.get_running_loop().time()
        self.notes.append(f'{now_s - self._began_s:7.2f} {text}')


def losses_borne(store):
    """Returns how many further losses a store says that its group bears."""
    url = f'http://{store.ip}:{documents.METRICS_PORT}/metrics'
    try:
        text = urllib3.request('GET', url, timeout=1, retries=False).data
    except urllib3.exceptions.HTTPError:
        return 0
    for line in text.decode().splitlines():
        if line.startswith('cactusledge_records_losses_borne{'):
            return float(line.rpartition(' ')[2])
    return 0


async def send(front, ask):
    """Sends a request on a new connection; returns what was seen."""
    try:
        streams = await asyncio.open_connection(front.ip, documents.FRONT_PORT)
    except OSError:
        return Seen()
    seen = await exchange(Channel(front.name, *streams), ask)
    streams[1].close()
    return seen


def is_answered(seen):
    """Returns whether a turn was answered whole."""
    return seen.status == OK and seen.is_whole


@asynccontextmanager
async def started(folder, stores, body_bytes=0):
    """Starts a deployment with some stores; ends what it started."""
    roles = ('store',) * stores + ENDPOINTS + ('front',) * FRONTS
    deployment = Deployment(folder, roles)
    try:
        await deployment.start()
        turns = Turns(deployment, body_bytes)
        while not await turns.is_continued(''):
            await asyncio.sleep(TRY_PAUSE_S)
        yield deployment, turns
    finally:
        deployment.fleet.stop_all()


async def play(folder, plan):
    """Loses stores one after the other; returns what callers saw."""
    async with started(folder, plan.stores, plan.body_bytes) as found:
        deployment, turns = found
        stopped = asyncio.Event()
        sending = asyncio.gather(
            *(turns.send_until(stopped) for _ in range(plan.senders))
        )
        series = Losses(deployment, is_stopped=plan.is_stopped)
        await asyncio.sleep(SETTLED_S)
        for number in range(plan.losses):
            stores = deployment.fleet.of_role('store')
            place = plan.places[number % len(plan.places)]
            await series.lose(stores[place], plan.rest_s)
        await asyncio.sleep(SETTLED_S)
        stopped.set()
        await sending
        return turns, series, await turns.lost()


def main(
    stores: int = 4,
    losses: int = 4,
    rest_s: float = CATCH_UP_S,
    senders: int = 1,
    body_bytes: int = 0,
    places: str = '0',
    *,
    stopped: bool = False,
) -> None:
    """Plays a series and prints what callers saw."""
    folder = Path(tempfile.mkdtemp(prefix='losses-'))
    order = tuple(map(int, places.split(',')))
    plan = Plan(stores, losses, rest_s, senders, body_bytes, stopped, order)
    turns, series, lost = asyncio.run(play(folder, plan))
    for note in series.notes:
        typer.echo(note)
    typer.echo(
        f'{len(turns.whole)} turns answered, {len(turns.refused)} not; '
        f'{len(lost)} do not go on; logs: {folder}'
    )
    raise typer.Exit(bool(lost))


if __name__ == '__main__':
    typer.run(main)
