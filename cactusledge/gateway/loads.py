"""What this instance knows of each endpoint's load and health."""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence

from cactusledge.gateway.messages import PromptPart

LATENCY_WEIGHT = 0.2  # of the newest answer in the moving average
FIRST_LATENCY_MS = 20.0
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
SLOW_SHARE = 1.5  # times the usual latency that count as usual
FORGET_S = 3.0  # until a slow endpoint is tried again
PARTS_KEPT = 400  # prompt parts remembered for an endpoint


class EndpointLoad:
    """Load and health of one endpoint, as seen from here."""

    def __init__(self) -> None:
        """Starts idle and healthy."""
        self.in_flight = 0  # requests sent from here and not ended
        self.others_in_flight = 0  # as the other instances last told
        self.latency_ms = float(FIRST_LATENCY_MS)  # a unit of work
        self._measured_s = float(0)  # when it was last measured
        self.failures = 0  # in a row
        self.ejected_until_s = float(0)
        self._parts: OrderedDict[str, None] = OrderedDict()

    @property
    def total(self) -> int:
        """Requests under way from all instances, as far as is known."""
        return self.in_flight + self.others_in_flight

    def succeeded(self, latency_ms: float, now_s: float) -> None:
        """Takes an answer; the latency is that of a unit of its work."""
        self.failures = 0
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self._measured_s = now_s

    def excess_ms(self, usual_ms: float, now_s: float) -> float:
        """Returns by how much it is slower than others, forgotten in time."""
        age_s = max(0, now_s - self._measured_s)
        excess_ms = max(0, self.latency_ms - SLOW_SHARE * usual_ms)
        return excess_ms * math.exp(-age_s / FORGET_S)

    def failed(self, now_s: float) -> None:
        """Takes a failure; the endpoint is avoided for a while."""
        self.failures += 1
        wait_s = FIRST_EJECTION_S * 2 ** (self.failures - 1)
        self.ejected_until_s = now_s + min(wait_s, LONGEST_EJECTION_S)

    def learn_parts(self, parts: Sequence[PromptPart]) -> None:
        """Notes the parts of a prompt that the endpoint has read."""
        for part in parts:
            self._parts[part.part_id] = None
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > PARTS_KEPT:
            self._parts.popitem(last=False)

    def missing_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns the tokens that the endpoint would have to read."""
        for index, part in enumerate(parts):
            if part.part_id not in self._parts:
                return sum(missing.tokens for missing in parts[index:])
        return 0


class Loads:
    """The loads by endpoint id."""

    def __init__(self) -> None:
        """Starts without endpoints."""
        self._loads: dict[str, EndpointLoad] = {}

    def of(self, endpoint_id: str) -> EndpointLoad:
        """Returns the load of an endpoint."""
        load = self._loads.get(endpoint_id)
        if load is None:
            load = EndpointLoad()
            self._loads[endpoint_id] = load
        return load

    def own(self) -> dict[str, int]:
        """Returns the requests under way from here, by endpoint id."""
        return {
            endpoint_id: load.in_flight
            for endpoint_id, load in self._loads.items()
            if load.in_flight
        }

    def take_others(self, sums: Mapping[str, int]) -> None:
        """Takes the sums of what the other instances have under way."""
        for endpoint_id, load in self._loads.items():
            load.others_in_flight = sums.get(endpoint_id, 0)

    def forget(self, endpoint_id: str) -> None:
        """Drops what is known of an endpoint that is gone."""
        self._loads.pop(endpoint_id, None)
