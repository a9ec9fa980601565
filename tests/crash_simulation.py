"""Simulates gateways, stores and endpoints that crash, in virtual time.

The product's own evidence and placement decide; only time, losses and demand
are made up here.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from cactusledge.gateway.messages import Replica
from cactusledge.gateway.suspects import Suspects
from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.records.gateway_messages import CrashedRun, RequestKeys

EXCHANGE_S = 0.1
CRASH_AFTER_S = 0.1  # that a cause runs
SERVICE_S = (0.1, 0.4)  # that a sound request runs
NOTICED_S = (0.005, 0.06)  # after an end, by each gateway
RETRY_S = (0.1, 0.4)  # of callers, after a break
BACK_S = 3.0  # that an ended endpoint is away


class Load(NamedTuple):
    """What a simulation is made of."""

    gateways: int = 8
    stores: int = 4
    endpoints: int = 6
    causes: int = 1
    sound_per_s: float = 60.0
    cause_pause_s: float = 0.5  # until a cause comes again
    loss: float = 0  # share of reports and replies that are lost
    seed: int = 1


class Event(NamedTuple):
    """What happens at a time."""

    at_s: float
    number: int  # orders events of the same time
    action: Callable[..., None]
    args: tuple


class SimulatedGateway:
    """A gateway and the store that it reports to."""

    def __init__(self, store):
        self.store = store
        self.start()

    def start(self):
        """Starts its process, without any knowledge."""
        self.evidence = CrashEvidence()
        self.suspects = Suspects(self.evidence)


class Endpoint:
    """One endpoint; `runs` holds what is in progress in its lifetime."""

    def __init__(self, number):
        self.replica = Replica(f'e{number}', 's', '10.0.0.1', 80, 'dc', 8, 0, 1)
        self.is_up = True
        self.runs = {}


class CrashSimulation:
    """Keeps which endpoints each cause ended, and what was refused."""

    def __init__(self, load):
        self.load = load
        self.now_s = float(0)
        self.draw = random.Random(load.seed)
        self.stores = [CrashEvidence() for _ in range(load.stores)]
        self.gateways = [
            SimulatedGateway(self.stores[one % load.stores])
            for one in range(load.gateways)
        ]
        self.endpoints = [Endpoint(one) for one in range(load.endpoints)]
        self.ends = {}  # times at which each cause ended an endpoint
        self.refused = set()  # sound requests that were stopped
        self._events = []
        self._order = itertools.count()

    def run(self, seconds):
        """Runs from the start."""
        for number in range(self.load.causes):
            keys = RequestKeys(f'cause{number}', f'/cause{number}')
            self.ends[keys] = []
            self._at(self.draw.uniform(1, 2), self._send_cause, keys)
        for number in range(round(self.load.sound_per_s * seconds)):
            keys = RequestKeys(f'sound{number}', f'/sound{number}')
            self._at(self.draw.uniform(0, seconds), self._send_sound, keys)
        for tick in range(round(seconds / EXCHANGE_S)):
            self._at(tick * EXCHANGE_S, self._exchange)
        while self._events and self._events[0].at_s <= seconds:
            event = heapq.heappop(self._events)
            self.now_s = event.at_s
            event.action(*event.args)

    def end_some(self, at_s, share):
        """Ends a share of the endpoints at a time, by no request."""
        count = round(share * len(self.endpoints))
        for endpoint in self.draw.sample(self.endpoints, count):
            self._at(at_s, self._end, endpoint)

    def restart_gateway(self, at_s):
        """Ends a gateway's process and starts it anew."""
        gateway = self.draw.choice(self.gateways)
        self._at(at_s, gateway.start)

    def _at(self, at_s, action, *args):
        event = Event(at_s, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def _after(self, span, action, *args):
        self._at(self.now_s + self.draw.uniform(*span), action, *args)

    def _send_cause(self, keys):
        pause_s = self.load.cause_pause_s
        self._after((pause_s, 2 * pause_s), self._send_cause, keys)
        gateway = self.draw.choice(self.gateways)
        if not gateway.suspects.refused_for_s(keys, self.now_s):
            self._begin(gateway, keys, is_cause=True)

    def _send_sound(self, keys):
        gateway = self.draw.choice(self.gateways)
        if gateway.evidence.stopped_for_s(keys, self.now_s):
            self.refused.add(keys)
        elif gateway.suspects.refused_for_s(keys, self.now_s):
            self._after(RETRY_S, self._send_sound, keys)
        else:
            self._begin(gateway, keys, is_cause=False)

    def _begin(self, gateway, keys, *, is_cause):
        endpoint = self._place(gateway, keys)
        if endpoint is None:
            if not is_cause:
                self._after(RETRY_S, self._send_sound, keys)
            return
        run = object()
        running = gateway.suspects.running(endpoint.replica.endpoint_id, keys)
        running.__enter__()
        endpoint.runs[run] = (gateway, keys, running, is_cause)
        if is_cause:
            crash_s = (CRASH_AFTER_S, CRASH_AFTER_S)
            self._after(crash_s, self._crash, endpoint, run, keys)
        else:
            self._after(SERVICE_S, self._answer, endpoint, run)

    def _place(self, gateway, keys):
        risk_ms = gateway.suspects.risk_of(keys, 0)
        return min(
            (endpoint for endpoint in self.endpoints if endpoint.is_up),
            key=lambda one: (
                risk_ms(one.replica) + 10 * len(one.runs) + self.draw.random()
            ),
            default=None,
        )

    def _answer(self, endpoint, run):
        if run not in endpoint.runs:
            return
        gateway, keys, running, _ = endpoint.runs.pop(run)
        running.__exit__(None, None, None)
        gateway.evidence.add_answered(keys, self.now_s)

    def _crash(self, endpoint, run, keys):
        if run in endpoint.runs:
            self.ends[keys].append(self.now_s)
            self._end(endpoint)

    def _end(self, endpoint):
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        replica = endpoint.replica
        for gateway, keys, running, is_cause in endpoint.runs.values():
            running.__exit__(None, None, None)
            seen = (gateway, replica, keys, self.now_s)
            self._after(NOTICED_S, self._notice, *seen)
            if not is_cause:
                self._after(RETRY_S, self._send_sound, keys)
        endpoint.runs = {}
        self._after((BACK_S, BACK_S), self._come_back, endpoint)

    def _notice(self, gateway, replica, keys, ended_s):
        age_s = self.now_s - ended_s
        run = CrashedRun(replica.endpoint_id, replica.born_ms, keys, age_s)
        gateway.evidence.add(run, self.now_s)

    def _come_back(self, endpoint):
        born_ms = endpoint.replica.born_ms + 1
        endpoint.replica = endpoint.replica._replace(born_ms=born_ms)
        endpoint.is_up = True

    def _exchange(self):
        for gateway in self.gateways:
            self._tell(gateway.evidence, gateway.store)
            self._tell(gateway.store, gateway.evidence)
        for one, other in itertools.permutations(self.stores, 2):
            self._tell(one, other)

    def _tell(self, one, other):
        if self.draw.random() >= self.load.loss:
            other.add_reported(one.to_report(self.now_s), self.now_s)
