"""Simulates gateways and stores that hold an endpoint's limit, in virtual time.

The product's own state machines decide; only time, losses and demand are made
up here.
"""

import random
from collections import deque
from typing import NamedTuple

from cactusledge.gateway.endpoint_limits import Admission, EndpointLimits
from cactusledge.gateway.messages import Replica
from cactusledge.records.gateway_messages import NamedLimit
from cactusledge.records.limit_division import LimitDivision

STEP_S = 0.02
EXCHANGE_S = 0.1
WINDOW_S = 4.0
STABLE_S = 3.0
TOLD_AFTER_S = 0.05  # until a request's answer names the limit
BORN_MS = 1
ENDPOINT = Replica('e1', 'svc', '10.0.0.1', 80, 'dc', 8, False, BORN_MS)


class Load(NamedTuple):
    """What a simulation is made of."""

    gateways: int = 8
    stores: int = 4
    limit_per_s: float = 2.6
    demand_per_s: float = 80.0  # of all gateways together
    skew: float = 0  # gateway n has a part of 1 / (n + 1) ** skew
    loss: float = 0  # share of reports and replies that are lost
    seed: int = 1


class SimulatedGateway:
    """A gateway, its demand and the store that it reports to."""

    def __init__(self, name, demand_per_s, store):
        self.name = name
        self.demand_per_s = demand_per_s
        self.store = store
        self.limits = EndpointLimits(name)
        self.is_cut = False  # from all stores
        self.answers = deque()  # times at which answers arrive


class LimitSimulation:
    """Runs one endpoint with a limit; keeps when requests arrived."""

    def __init__(self, load):
        self.load = load
        self.limit_per_s = load.limit_per_s
        self.now_s = float(0)
        self.arrivals = []  # times and names of the senders
        self.draw = random.Random(load.seed)
        self.stores = [LimitDivision() for _ in range(load.stores)]
        parts = [(one + 1) ** -load.skew for one in range(load.gateways)]
        self.gateways = [
            SimulatedGateway(
                f'f{one}',
                load.demand_per_s * part / sum(parts),
                one % load.stores,
            )
            for one, part in enumerate(parts)
        ]

    def run(self, seconds):
        """Advances the time."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def restart(self, gateway):
        """Ends a gateway's process and starts it anew."""
        gateway.limits = EndpointLimits(gateway.name)
        gateway.answers.clear()

    def swap_demand(self, one, two):
        """Moves the callers of two gateways to each other."""
        kept_per_s = one.demand_per_s
        one.demand_per_s = two.demand_per_s
        two.demand_per_s = kept_per_s

    def restart_store(self, number):
        """Ends a store's process and starts it anew."""
        self.stores[number] = LimitDivision()

    def most_in_window(self, start_s=STABLE_S):
        """Returns the most arrivals in a window that begins after a time."""
        counted = [at_s for at_s, _ in self.arrivals if at_s >= start_s]
        return max(
            sum(first_s <= at_s < first_s + WINDOW_S for at_s in counted)
            for first_s in counted or [start_s]
        )

    def rate_per_s(self, start_s, end_s):
        """Returns the arrivals a second in a span."""
        found = sum(start_s <= at_s < end_s for at_s, _ in self.arrivals)
        return found / (end_s - start_s)

    def _step(self):
        self.now_s += STEP_S
        is_exchange = round(self.now_s / STEP_S) % round(EXCHANGE_S / STEP_S)
        for gateway in self.gateways:
            self._receive_answers(gateway)
            self._send(gateway)
            if not is_exchange and not gateway.is_cut:
                self._exchange(gateway)
        if not is_exchange:
            self._share()

    def _receive_answers(self, gateway):
        while gateway.answers and gateway.answers[0] <= self.now_s:
            gateway.answers.popleft()
            seen = NamedLimit('e1', BORN_MS, self.limit_per_s, 0, False)
            gateway.limits.known.add(seen, self.now_s)

    def _send(self, gateway):
        chance = gateway.demand_per_s * STEP_S
        while self.draw.random() < chance:
            chance -= 1
            if self._is_admitted(gateway):
                self.arrivals.append((self.now_s, gateway.name))
                gateway.answers.append(self.now_s + TOLD_AFTER_S)

    def _is_admitted(self, gateway):
        limits = gateway.limits
        admission = limits.admit(ENDPOINT, self.now_s, is_new=True)
        if admission is not Admission.ASK:
            return admission is Admission.FREE
        reply = None
        if not gateway.is_cut and not self._is_lost():
            question = limits.question(ENDPOINT, self.now_s)
            store = self.stores[gateway.store]
            reply = store.grant(question, self.now_s)
        if self._is_lost():
            reply = None
        return limits.add_reply(ENDPOINT, reply, self.now_s)

    def _is_lost(self):
        return self.draw.random() < self.load.loss

    def _exchange(self, gateway):
        limits, store = gateway.limits, self.stores[gateway.store]
        demands = limits.demands(self.now_s)
        if self._is_lost():
            return
        store.known.add_reported(limits.known.to_report(self.now_s), self.now_s)
        store.report(gateway.name, demands, self.now_s)
        if self._is_lost():
            return
        limits.known.add_reported(store.known.to_report(self.now_s), self.now_s)
        limits.set_gateways(len(self.gateways), self.now_s)

    def _share(self):
        for number, store in enumerate(self.stores):
            demands = store.local_demands(self.now_s)
            seen = store.known.to_report(self.now_s)
            for other in self.stores:
                if other is not store and not self._is_lost():
                    other.share(f's{number}', demands, self.now_s)
                    other.known.add_reported(seen, self.now_s)
