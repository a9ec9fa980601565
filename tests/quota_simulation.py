"""Simulates gateways and stores that hold an account's quota, in virtual time.

The product's own state machines decide; only time, losses, cuts and demand are
made up here.
"""

import random
from typing import NamedTuple

from cactusledge.gateway.account_quotas import AccountQuotas, Ask
from cactusledge.gateway.endpoint_limits import Admission
from cactusledge.gateway.messages import Quota
from cactusledge.records.quota_division import QuotaDivision

STEP_S = 0.02
EXCHANGE_S = 0.1
WINDOW_S = 5.0


class Load(NamedTuple):
    """What a simulation is made of."""

    gateways: int = 12
    stores: int = 4
    quota: Quota = Quota(20, 20)
    demand: float = 2  # of all gateways together, in parts of the rate
    skew: float = 0  # gateway n has a part of 1 / (n + 1) ** skew
    loss: float = 0  # share of reports and replies that are lost
    seed: int = 1


class SimulatedGateway:
    """A gateway, its part of the demand and the store that it asks."""

    def __init__(self, name, part, store):
        self.name = name
        self.part = part
        self.store = store
        self.quotas = AccountQuotas(name)
        self.is_cut = False  # from all stores


class QuotaSimulation:
    """Runs one account with a quota; keeps which requests ran."""

    def __init__(self, load):
        self.load = load
        self.quota = load.quota
        self.version = 1
        self.demand = load.demand
        self.now_s = float(0)
        self.taken_s = []  # times
        self.ranks = []  # of the requests taken
        self.sent_s = []  # times of all requests
        self.asked = 0  # requests that a store was asked for
        self._draw = random.Random(load.seed)
        self.side = [0 for _ in range(load.stores)]  # of a cut, by store
        self.stores = [self._new_store(one) for one in range(load.stores)]
        parts = [(one + 1) ** -load.skew for one in range(load.gateways)]
        self.gateways = [
            SimulatedGateway(f'f{one}', part / sum(parts), one % load.stores)
            for one, part in enumerate(parts)
        ]

    def run(self, seconds):
        """Advances the time."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    def restart(self, gateway):
        """Ends a gateway's process and starts it anew."""
        gateway.quotas = AccountQuotas(gateway.name)

    def restart_store(self, number):
        """Ends a store's process and starts it anew."""
        self.stores[number] = self._new_store(number)

    def change_quota(self, quota):
        """Changes the configuration of all gateways."""
        self.quota = quota
        self.version += 1

    def most_over(self, start_s=0):
        """Returns by how much a window exceeds what is allowed, at most."""
        allowed = (self.quota.rate_per_s * WINDOW_S + self.quota.burst) * 1.1
        counted = [at_s for at_s in self.taken_s if at_s >= start_s]
        first = 0
        most = 0
        for end, at_s in enumerate(counted):
            while counted[first] <= at_s - WINDOW_S:
                first += 1
            most = max(most, end - first + 1)
        return most - allowed - 20

    def share_taken(self, start_s=0):
        """Returns the share of the requests that were taken."""
        taken = sum(at_s >= start_s for at_s in self.taken_s)
        return taken / max(1, sum(at_s >= start_s for at_s in self.sent_s))

    def rate_per_s(self, start_s):
        """Returns the requests taken a second since a time."""
        found = sum(at_s >= start_s for at_s in self.taken_s)
        return found / (self.now_s - start_s)

    def _new_store(self, number):
        store = QuotaDivision(self.now_s)
        others = set(range(self.load.stores)) - {number}
        store.set_group([f's{one}' for one in others])
        return store

    def _step(self):
        self.now_s += STEP_S
        is_exchange = round(self.now_s / STEP_S) % round(EXCHANGE_S / STEP_S)
        for gateway in self.gateways:
            self._send(gateway)
            if not is_exchange and not gateway.is_cut:
                self._exchange(gateway)
        if not is_exchange:
            self._share()

    def _send(self, gateway):
        rate_per_s = self.demand * self.load.quota.rate_per_s * gateway.part
        chance = rate_per_s * STEP_S
        while self._draw.random() < chance:
            chance -= 1
            self.sent_s.append(self.now_s)
            rank = self._draw.random()
            ask = Ask('acme', self.quota, self.version, rank)
            if self._is_taken(gateway, ask):
                self.taken_s.append(self.now_s)
                self.ranks.append(rank)

    def _is_taken(self, gateway, ask):
        quotas = gateway.quotas
        admission = quotas.admit(ask, self.now_s)
        if admission is Admission.EQUAL_PART:
            return quotas.take_equal_part(ask, self.now_s)
        if admission is not Admission.ASK:
            return admission is Admission.FREE
        self.asked += 1
        if gateway.is_cut or self._is_lost():
            return quotas.take_equal_part(ask, self.now_s)
        store = self.stores[gateway.store]
        reply = store.grant(quotas.question(ask, self.now_s), self.now_s)
        if self._is_lost():
            return quotas.take_equal_part(ask, self.now_s)
        return quotas.add_reply(ask, reply, self.now_s)

    def _is_lost(self):
        return self._draw.random() < self.load.loss

    def _exchange(self, gateway):
        uses = gateway.quotas.drain_uses(self.now_s)
        if self._is_lost():
            gateway.quotas.requeue(uses)
            return
        store = self.stores[gateway.store]
        others = store.report(gateway.name, uses, self.now_s)
        if self._is_lost():
            gateway.quotas.requeue(uses)
            return
        gateway.quotas.set_others(others, len(self.gateways), self.now_s)

    def _share(self):
        for number, store in enumerate(self.stores):
            demands = store.local_demands(self.now_s)
            for other, side in zip(self.stores, self.side, strict=True):
                is_open = side == self.side[number] and not self._is_lost()
                if other is not store and is_open:
                    other.share(f's{number}', demands, self.now_s)
