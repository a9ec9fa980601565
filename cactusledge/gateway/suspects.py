"""Keeps requests that may crash endpoints away from each other.

The cause of an end and the requests that ran beside it are all sent again.
Spread over the endpoints, only the cause runs at the next end too. The spread
is drawn from the request, so gateways need not agree on it.
"""

import random
from collections import Counter
from collections.abc import Callable, Generator
from contextlib import contextmanager

from cactusledge.gateway.messages import Replica
from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.records.gateway_messages import RequestKeys

AVOID_MS = 500.0  # cost of a request that may crash an endpoint beside another
SPREAD_MS = 300.0  # more than endpoints differ in cost, unless one is full
LIKELY_AFTER = 2  # ends; after one, most suspects are innocent
RUNNING_RETRY_S = 0.3  # while the same request is in progress

Risk = Callable[[Replica], float]  # cost in milliseconds


class Suspects:
    """The suspected requests that this gateway has in progress."""

    def __init__(self, evidence: CrashEvidence) -> None:
        """Starts without any."""
        self._evidence = evidence
        self._running: Counter[str] = Counter()  # by target key
        self._suspected_at: Counter[str] = Counter()  # by endpoint id
        self._likely_at: Counter[str] = Counter()  # the same, likely causes

    @contextmanager
    def running(
        self, endpoint_id: str, keys: RequestKeys
    ) -> Generator[None, None, None]:
        """Counts a request while it is in progress at an endpoint."""
        suspicion = self._evidence.suspicion(keys)
        is_suspected = suspicion > 0
        is_likely = suspicion >= LIKELY_AFTER
        self._running[keys.target] += 1
        self._suspected_at[endpoint_id] += is_suspected
        self._likely_at[endpoint_id] += is_likely
        try:
            yield
        finally:
            self._suspected_at[endpoint_id] -= is_suspected
            self._likely_at[endpoint_id] -= is_likely
            self._running[keys.target] -= 1
            if not self._running[keys.target]:
                self._running.pop(keys.target)

    def refused_for_s(self, keys: RequestKeys, now_s: float) -> float:
        """Returns how long a request is refused, 0 if it may be sent.

        A likely cause, in any of its forms, is sent to one endpoint at a time.
        """
        stopped_for_s = self._evidence.stopped_for_s(keys, now_s)
        if stopped_for_s or keys.target not in self._running:
            return stopped_for_s
        is_likely = self._evidence.suspicion(keys) >= LIKELY_AFTER
        return RUNNING_RETRY_S if is_likely else 0

    def risk_of(self, keys: RequestKeys, broken: int) -> Risk:
        """Returns the cost of sending a request to each endpoint.

        Args:
            keys: Identify the request.
            broken: Its attempts that broke off just now.
        """
        suspicion = max(self._evidence.suspicion(keys), broken)
        if not suspicion:
            return lambda replica: (
                AVOID_MS * self._likely_at[replica.endpoint_id]
            )
        return lambda replica: (
            AVOID_MS * self._suspected_at[replica.endpoint_id]
            + SPREAD_MS * draw(keys, suspicion, replica.endpoint_id)
        )


def draw(keys: RequestKeys, suspicion: int, endpoint_id: str) -> float:
    """Returns a number from 0 to 1, another one after each further end."""
    seed = f'{keys.target} {suspicion} {endpoint_id}'
    return random.Random(seed).random()
