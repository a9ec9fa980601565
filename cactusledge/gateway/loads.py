"""What this instance knows of each endpoint's load and health."""

import math
from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Mapping, Sequence

from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.records.gateway_messages import ReadPart
from cactusledge.records.read_parts import ReadPartKey, read_part_key

LATENCY_WEIGHT = 0.2  # of the newest answer in the moving average
INITIAL_LATENCY_MS = 20.0
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
ERROR_WEIGHT = 0.3  # of the newest answer in the share of errors
ERROR_DECAY_S = 10.0
SLOW_FACTOR = 1.5  # times the usual latency that count as usual
LATENCY_DECAY_S = 3.0  # until a slow endpoint is tried again
MAX_UNLISTED_ENDPOINTS = 200  # endpoints that are not listed
MAX_REPORTED_PARTS = 4096  # read parts that others know of
MAX_PARTS_PER_ENDPOINT = 400  # prompt parts remembered for an endpoint


class EndpointLoad:
    """Load and health of one endpoint, as seen from here."""

    def __init__(self) -> None:
        """Starts idle and healthy."""
        self.born_ms = 0  # start of its lifetime, Unix milliseconds
        self.in_flight = 0  # requests sent from here and not ended
        self.others_in_flight = 0  # as the other instances last told
        self.latency_ms = float(INITIAL_LATENCY_MS)  # a unit of work
        self._latency_sampled_s = float(0)  # when it was last measured
        self.failures = 0  # in a row
        self._error_average = float(0)  # share of answers, moving average
        self._error_sampled_s = float(0)  # when an answer was last judged
        self.ejected_until_s = float(0)
        self._parts: OrderedDict[str, int] = OrderedDict()  # tokens by id

    @property
    def total(self) -> int:
        """Requests under way from all instances, as far as is known."""
        return self.in_flight + self.others_in_flight

    def record_success(self, latency_ms: float, now_s: float) -> None:
        """Takes an answer; the latency is that of a unit of its work."""
        self.failures = 0
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self._latency_sampled_s = now_s

    def excess_latency_ms(self, usual_ms: float, now_s: float) -> float:
        """Returns by how much it is slower than others, forgotten in time."""
        age_s = max(0, now_s - self._latency_sampled_s)
        excess_latency_ms = max(0, self.latency_ms - SLOW_FACTOR * usual_ms)
        return excess_latency_ms * math.exp(-age_s / LATENCY_DECAY_S)

    def record_answer_error(self, now_s: float, *, is_error: bool) -> None:
        """Takes in whether an answer was an error of the endpoint's own."""
        known = self.error_share(now_s)
        self._error_average = known + ERROR_WEIGHT * (is_error - known)
        self._error_sampled_s = now_s

    def error_share(self, now_s: float) -> float:
        """Returns the share of answers that were errors, forgotten in time."""
        age_s = max(0, now_s - self._error_sampled_s)
        return self._error_average * math.exp(-age_s / ERROR_DECAY_S)

    def record_failure(self, now_s: float) -> None:
        """Takes a failure; the endpoint is avoided for a while."""
        self.failures += 1
        wait_s = INITIAL_EJECTION_S * 2 ** (self.failures - 1)
        self.ejected_until_s = now_s + min(wait_s, MAX_EJECTION_S)

    def begin_lifetime(self, born_ms: int) -> None:
        """Forgets what the endpoint had read before it started again."""
        if born_ms > self.born_ms:
            self.born_ms = born_ms
            self._parts.clear()

    def add_cached_parts(self, parts: Sequence[PromptPart]) -> None:
        """Notes the parts of a prompt that the endpoint has read."""
        for part in parts:
            known = self._parts.get(part.part_id, 0)
            self._parts[part.part_id] = max(known, part.tokens)
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > MAX_PARTS_PER_ENDPOINT:
            self._parts.popitem(last=False)

    def uncached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns the tokens that the endpoint would have to read."""
        for index, part in enumerate(parts):
            uncached = part.tokens - self._parts.get(part.part_id, 0)
            if uncached > 0:
                return uncached + sum(
                    after.tokens for after in parts[index + 1 :]
                )
        return 0


class Loads:
    """The loads by endpoint id."""

    def __init__(self) -> None:
        """Starts without endpoints."""
        self._loads: dict[str, EndpointLoad] = {}
        self._reported: OrderedDict[Key, None] = OrderedDict()
        self._unreported: deque[ReadPart] = deque(maxlen=MAX_REPORTED_PARTS)

    def of(self, endpoint_id: str) -> EndpointLoad:
        """Returns the load of an endpoint."""
        load = self._loads.get(endpoint_id)
        if load is None:
            load = EndpointLoad()
            self._loads[endpoint_id] = load
        return load

    def at(self, replica: Replica) -> EndpointLoad:
        """Returns the load of an endpoint in its present lifetime."""
        load = self.of(replica.endpoint_id)
        load.begin_lifetime(replica.born_ms)
        return load

    def own_loads(self) -> dict[str, int]:
        """Returns the requests under way from here, by endpoint id."""
        return {
            endpoint_id: load.in_flight
            for endpoint_id, load in self._loads.items()
            if load.in_flight
        }

    def set_remote_loads(self, sums: Mapping[str, int]) -> None:
        """Takes the sums of what the other instances have under way."""
        for endpoint_id, load in self._loads.items():
            load.others_in_flight = sums.get(endpoint_id, 0)

    def record_read(
        self, replica: Replica, parts: Sequence[PromptPart]
    ) -> None:
        """Notes that an endpoint has read a prompt.

        The last part is the request's own or its session's; others may share
        those before it.
        """
        self.at(replica).add_cached_parts(parts)
        for part in parts[:-1]:
            read = ReadPart(replica.endpoint_id, replica.born_ms, *part)
            if key_of(read) not in self._reported:
                self._mark_reported(read)
                self._unreported.append(read)

    def drain_read_parts(self) -> list[ReadPart]:
        """Returns the shared parts read since the last call."""
        news = list(self._unreported)
        self._unreported.clear()
        return news

    def requeue_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Takes back parts that could not be told."""
        self._unreported.extend(read)

    def add_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Takes what endpoints have read for other instances."""
        for part in read:
            self._mark_reported(part)
            load = self.of(part.endpoint_id)
            load.begin_lifetime(part.born_ms)
            if load.born_ms == part.born_ms:
                load.add_cached_parts((PromptPart(part.part_id, part.tokens),))

    def prune(self, endpoint_ids: Collection[str]) -> None:
        """Drops what is known of idle endpoints that are gone.

        Some are kept: others may tell of an endpoint before it is listed.
        """
        if len(self._loads) <= len(endpoint_ids) + MAX_UNLISTED_ENDPOINTS:
            return
        self._loads = {
            endpoint_id: load
            for endpoint_id, load in self._loads.items()
            if load.in_flight or endpoint_id in endpoint_ids
        }

    def _mark_reported(self, part: ReadPart) -> None:
        """Notes what need not be told; the oldest are told once more."""
        self._reported[key_of(part)] = None
        if len(self._reported) > MAX_REPORTED_PARTS:
            self._reported.popitem(last=False)
