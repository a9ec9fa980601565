"""Tracks the load, health and cached prompt parts of each endpoint."""

import math
from collections import OrderedDict, defaultdict, deque
from collections.abc import Collection, Iterable, Mapping, Sequence

from cactusledge.gateway.engine_speeds import Pace, TimedEvents
from cactusledge.gateway.messages import PromptPart, Replica
from cactusledge.gateway.reading_speeds import ReadingSpeed
from cactusledge.records.gateway_messages import ReadPart
from cactusledge.records.read_parts import ReadPartKey, read_part_key

LATENCY_WEIGHT = 0.2  # of the newest sample in the moving average
INITIAL_LATENCY_MS = 20.0
INITIAL_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
ERROR_WEIGHT = 0.3  # of the newest response in the share of errors
ERROR_DECAY_S = 10.0
SLOW_FACTOR = 1.5  # latency counts as slow above this multiple of the median
LATENCY_DECAY_S = 3.0  # time constant; a slow endpoint gets requests again
MAX_UNLISTED_ENDPOINTS = 200  # kept although they are not in the list
MAX_REPORTED_PARTS = 4096  # read parts that other instances know of
MAX_PARTS_PER_ENDPOINT = 400  # prompt parts tracked per endpoint


class EndpointLoad:
    """Load, health and cached parts of an endpoint, seen from here."""

    def __init__(self) -> None:
        """Starts idle and healthy."""
        self.born_ms = 0  # start of its lifetime, Unix milliseconds
        self.in_flight = 0  # requests of this instance in progress
        self.remote_in_flight = 0  # as last reported by the other instances
        self.latency_ms = float(INITIAL_LATENCY_MS)  # per unit of work
        self._latency_sampled_s = float(0)  # time of the last sample
        self.failures = 0  # in a row
        self._error_average = float(0)  # share of responses, moving average
        self._error_sampled_s = float(0)  # time of the last sample
        self.ejected_until_s = float(0)
        self.pace = Pace()  # of an engine in this lifetime
        self._parts: OrderedDict[str, int] = OrderedDict()  # tokens by id

    @property
    def total(self) -> int:
        """Known requests in progress from all instances."""
        return self.in_flight + self.remote_in_flight

    def record_success(self, latency_ms: float, now_s: float) -> None:
        """Records a response; the latency is per unit of work."""
        self.failures = 0
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self._latency_sampled_s = now_s

    def excess_latency_ms(self, median_ms: float, now_s: float) -> float:
        """Returns the latency above the normal range, decaying with age."""
        age_s = max(0, now_s - self._latency_sampled_s)
        excess_latency_ms = max(0, self.latency_ms - SLOW_FACTOR * median_ms)
        return excess_latency_ms * math.exp(-age_s / LATENCY_DECAY_S)

    def record_error_sample(self, now_s: float, *, is_error: bool) -> None:
        """Records whether a response was an error of the endpoint itself."""
        known = self.error_share(now_s)
        self._error_average = known + ERROR_WEIGHT * (is_error - known)
        self._error_sampled_s = now_s

    def error_share(self, now_s: float) -> float:
        """Returns the decaying share of responses that were errors."""
        age_s = max(0, now_s - self._error_sampled_s)
        return self._error_average * math.exp(-age_s / ERROR_DECAY_S)

    def record_failure(self, now_s: float) -> None:
        """Records a failure; ejects for longer after each one in a row."""
        self.failures += 1
        wait_s = INITIAL_EJECTION_S * 2 ** (self.failures - 1)
        self.ejected_until_s = now_s + min(wait_s, MAX_EJECTION_S)

    def begin_lifetime(self, born_ms: int) -> None:
        """Forgets cached parts and speed if the endpoint has restarted."""
        if born_ms > self.born_ms:
            self.born_ms = born_ms
            self._parts.clear()
            self.pace = Pace()

    def add_cached_parts(self, parts: Sequence[PromptPart]) -> None:
        """Adds the parts of a prompt that the endpoint has read."""
        for part in parts:
            known = self._parts.get(part.part_id, 0)
            self._parts[part.part_id] = max(known, part.tokens)
            self._parts.move_to_end(part.part_id)
        while len(self._parts) > MAX_PARTS_PER_ENDPOINT:
            self._parts.popitem(last=False)

    def uncached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Returns the prompt tokens that the endpoint would have to read.

        After the first part that is not cached, all tokens count.
        """
        for index, part in enumerate(parts):
            uncached = part.tokens - self._parts.get(part.part_id, 0)
            if uncached > 0:
                return uncached + sum(
                    after.tokens for after in parts[index + 1 :]
                )
        return 0


class Loads:
    """The loads by endpoint id, and read parts to report to other instances."""

    def __init__(self) -> None:
        """Starts without endpoints."""
        # By service, whose engines are alike.
        self.reading: defaultdict[str, ReadingSpeed] = defaultdict(ReadingSpeed)
        self._loads: dict[str, EndpointLoad] = {}
        self._reported: OrderedDict[ReadPartKey, None] = OrderedDict()
        self._unreported: deque[ReadPart] = deque(maxlen=MAX_REPORTED_PARTS)

    def of(self, endpoint_id: str) -> EndpointLoad:
        """Returns the load of an endpoint."""
        load = self._loads.get(endpoint_id)
        if load is None:
            load = EndpointLoad()
            self._loads[endpoint_id] = load
        return load

    def at(self, replica: Replica) -> EndpointLoad:
        """Returns the load of an endpoint in its current lifetime."""
        load = self.of(replica.endpoint_id)
        load.begin_lifetime(replica.born_ms)
        return load

    def own_loads(self) -> dict[str, int]:
        """Returns this instance's requests in progress, by endpoint id."""
        return {
            endpoint_id: load.in_flight
            for endpoint_id, load in self._loads.items()
            if load.in_flight
        }

    def set_remote_loads(self, sums: Mapping[str, int]) -> None:
        """Sets the requests in progress from other instances."""
        for endpoint_id, load in self._loads.items():
            load.remote_in_flight = sums.get(endpoint_id, 0)

    def record_read(
        self, replica: Replica, parts: Sequence[PromptPart]
    ) -> None:
        """Records that an endpoint has read a prompt.

        All parts but the last are queued to be reported: the last belongs to
        the request or its session, while other prompts may share the rest.
        """
        self.at(replica).add_cached_parts(parts)
        for part in parts[:-1]:
            read = ReadPart(replica.endpoint_id, replica.born_ms, *part)
            if read_part_key(read) not in self._reported:
                self._mark_reported(read)
                self._unreported.append(read)

    def record_pace(
        self, replica: Replica, timed: TimedEvents, now_s: float
    ) -> None:
        """Records how fast a lifetime of an engine generated events."""
        load = self.at(replica)
        if load.born_ms == replica.born_ms:
            load.pace.add(timed, now_s)

    def drain_read_parts(self) -> list[ReadPart]:
        """Returns and clears the shared parts read since the last call."""
        drained = list(self._unreported)
        self._unreported.clear()
        return drained

    def requeue_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Queues parts again that could not be reported."""
        self._unreported.extend(read)

    def add_read_parts(self, read: Iterable[ReadPart]) -> None:
        """Adds parts that endpoints have read for other instances."""
        for part in read:
            self._mark_reported(part)
            load = self.of(part.endpoint_id)
            load.begin_lifetime(part.born_ms)
            if load.born_ms == part.born_ms:
                load.add_cached_parts((PromptPart(part.part_id, part.tokens),))

    def prune(self, endpoint_ids: Collection[str]) -> None:
        """Drops the loads of idle endpoints that are not in the list.

        Up to `MAX_UNLISTED_ENDPOINTS` are kept, as other instances may report
        on an endpoint before it is listed here.
        """
        if len(self._loads) <= len(endpoint_ids) + MAX_UNLISTED_ENDPOINTS:
            return
        self._loads = {
            endpoint_id: load
            for endpoint_id, load in self._loads.items()
            if load.in_flight or endpoint_id in endpoint_ids
        }

    def _mark_reported(self, part: ReadPart) -> None:
        """Marks a part as reported; the oldest ones may be reported again."""
        self._reported[read_part_key(part)] = None
        if len(self._reported) > MAX_REPORTED_PARTS:
            self._reported.popitem(last=False)
