"""Carries out the events of a plan on the fleet."""

import asyncio
import random
import signal

import urllib3

from tests.soak_processes import documents
from tests.soak_processes.link import LinkFault

MOST_STORES = 5
FEWEST_STORES = 3
POLL_S = 0.2
RECOVERY_TIMEOUT_S = 60.0
RETIRE_TIMEOUT_S = 60.0
CATCH_UP_S = 4.6  # a store that is back still counts as lost for so long
ROLL_GAP_S = 2.5  # until all gateways know of an endpoint
RELOADS = 3
KILL_EFFECT_S = 3.0  # until the process serves again


class Actions:
    """What the events of a plan do."""

    def __init__(self, world):
        """Keeps the world that the events change."""
        self._world = world
        self._fleet = world.fleet
        self._http = urllib3.PoolManager(retries=False, timeout=1)
        self._by_name = {
            'roll': self._roll,
            'add': self._add,
            'retire': self._retire,
            'replace': self._replace,
            'publish': self._publish,
            'reload': self._reload,
            'kill': self._kill,
            'pause': self._pause,
            'cut platform link': self._cut,
            'cut callers link': self._cut,
            'silence platform connections': self._silence,
        }

    async def run_series(self, events):
        """Carries out events one after the other, none before its time."""
        loop = asyncio.get_running_loop()
        for event in events:
            wait_s = self._world.began_s + event.at_s - loop.time()
            await asyncio.sleep(max(0, wait_s))
            if self._world.is_ending:
                return
            began_s = loop.time() - self._world.began_s
            self._world.note(f'{began_s:.2f} {event}')
            await self._by_name[event.action](event)

    async def wait_recovered(self):
        """Waits until another store may be lost; returns whether it may."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RECOVERY_TIMEOUT_S
        since_s = loop.time()
        while loop.time() < ends_s and not self._world.is_ending:
            if not await self._is_recovered():
                since_s = loop.time()
            if loop.time() - since_s >= CATCH_UP_S:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _roll(self, event):
        """Stops and starts one node, a store only if the others are well."""
        if event.role == 'store' and not await self.wait_recovered():
            return
        node = self._take(event)
        if node is None:
            return
        node.is_busy = True
        self._world.note(f'SIGTERM {node.name}')
        await self._fleet.terminate(node)
        await self._fleet.restart(node)
        await self._wait_serving(node)
        node.is_busy = False

    async def _add(self, _):
        if len(self._fleet.of_role('store')) >= MOST_STORES:
            return
        if await self.wait_recovered():
            await self._start_store()

    async def _retire(self, event):
        """Has a store emptied, and removes it once it says that it is."""
        if len(self._fleet.of_role('store')) <= FEWEST_STORES:
            await self._add(event)
        if not await self.wait_recovered():
            return
        node = self._take(event)
        if node is None or len(self._fleet.of_role('store')) <= FEWEST_STORES:
            return
        node.is_busy = True
        self._world.note(f'retire {node.name}')
        configurations = self._world.configurations
        spec = {'duration_s': 30}
        await configurations.send('POST', 'retirements', node.name, spec)
        if await self._is_retired(node):
            await self._remove(node)
        node.is_busy = False

    async def _replace(self, event):
        """Removes a store for good and adds another one."""
        if not await self.wait_recovered():
            return
        node = self._take(event)
        if node is None:
            return
        node.is_busy = True
        self._world.note(f'replace {node.name}')
        await self._remove(node)
        await self._start_store()

    async def _publish(self, event):
        draw = random.Random(f'{self._world.seed} {event}')
        await self._world.configurations.publish_series(draw)

    async def _reload(self, event):
        for _ in range(RELOADS):
            node = self._take(event)
            if node and node.is_up:
                self._fleet.write_settings(node)
                node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(event.length_s / RELOADS / 2)

    async def _kill(self, event):
        node = self._take(event)
        if node is None:
            return
        fault = self._begin_fault(event, node)
        node.is_busy = True
        await self._fleet.kill(node)
        await self._fleet.restart(node)
        await asyncio.sleep(KILL_EFFECT_S)
        node.is_busy = False
        self._end_fault(fault)

    async def _pause(self, event):
        node = self._take(event)
        if node is None:
            return
        fault = self._begin_fault(event, node)
        node.is_busy = True
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.length_s)
        node.process.send_signal(signal.SIGCONT)
        node.is_busy = False
        self._end_fault(fault)

    async def _cut(self, event):
        node = self._take(event)
        if node is None:
            return
        link = node.links[event.action.split()[1]]
        fault = self._begin_fault(event, node)
        link.apply(LinkFault(event.detail), event.length_s / 10)
        await asyncio.sleep(event.length_s)
        link.heal()
        self._end_fault(fault)

    async def _silence(self, event):
        """Lets open connections go silent for good; new ones work."""
        node = self._take(event)
        if node is None:
            return
        fault = self._begin_fault(event, node)
        node.links['platform'].silence_open()
        await asyncio.sleep(event.length_s)
        self._end_fault(fault)

    async def _wait_serving(self, node):
        """Waits until a node serves again, as an operator's roll does."""
        await asyncio.sleep(ROLL_GAP_S)
        while node.role == 'front' and not self._world.is_ending:
            if self._world.balancer.is_ready(node):
                return
            await asyncio.sleep(POLL_S)

    def _take(self, event):
        """Returns the event's target, None if another event holds all."""
        nodes = [
            node
            for node in self._fleet.of_role(event.role)
            if node.is_up and not node.is_busy
        ]
        return nodes[event.pick % len(nodes)] if nodes else None

    async def _start_store(self):
        node = self._fleet.new_node('store')
        node.is_first_start = False
        self._world.note(f'add {node.name}')
        await self._fleet.start(node)

    async def _remove(self, node):
        await self._fleet.terminate(node)
        self._fleet.nodes.pop(node.name)

    async def _is_retired(self, node):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RETIRE_TIMEOUT_S
        configurations = self._world.configurations
        while loop.time() < ends_s and not self._world.is_ending:
            status = await configurations.status_of('retirements', node.name)
            if status.get('state') == 'done':
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _is_recovered(self):
        """Whether all stores are witnesses of one generation."""
        now_s = asyncio.get_running_loop().time()
        if not self._world.judge.is_calm(now_s):
            return False
        stores = self._fleet.of_role('store')
        found = await asyncio.gather(
            *(asyncio.to_thread(self._state, node) for node in stores)
        )
        return len(set(found)) == 1 and found[0][:1] == ('1',)

    def _state(self, node):
        """Returns whether a store is a witness, and its generation."""
        url = f'http://{node.ip}:{documents.METRICS_PORT}/metrics'
        try:
            text = self._http.request('GET', url).data.decode()
        except urllib3.exceptions.HTTPError:
            return ()
        return tuple(
            line.rpartition(' ')[2].removesuffix('.0')
            for name in ('records_witness', 'records_generation')
            for line in text.splitlines()
            if name in line and not line.startswith('#')
        )

    def _begin_fault(self, event, node):
        self._world.note(f'{event.action} {event.detail} {node.name}')
        now_s = asyncio.get_running_loop().time()
        what = f'{event.action} {node.name}'
        return self._world.judge.begin_fault(what, now_s)

    def _end_fault(self, number):
        now_s = asyncio.get_running_loop().time()
        self._world.judge.end_fault(number, now_s)
