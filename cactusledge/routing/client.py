"""Handle on a dispatcher for drivers and for the peers' server."""

import threading
from collections.abc import Sequence

import pykka

from cactusledge.models import Endpoint
from cactusledge.routing import types
from cactusledge.routing.dispatcher import Dispatcher, GrantFuture
from cactusledge.routing.policy import GroupPolicy

TICK_INTERVAL_S = 1.0


class DispatcherClient:
    """Sends messages to a dispatcher; no method waits."""

    def __init__(self, actor: pykka.ActorRef[Dispatcher]) -> None:
        """Keeps the dispatcher's reference."""
        self._proxy = actor.proxy()

    def request(self, key: types.GroupKey, job: types.Job) -> GrantFuture:
        """Returns a future of the job's grant.

        The future raises `OverloadedError`, with the time to come back
        after, when the job will not be carried out.
        """
        future: GrantFuture = pykka.ThreadingFuture()
        self._proxy.submit.defer(key, job, future)
        return future

    def cancel(self, key: types.GroupKey, job_id: str) -> None:
        """Takes back a job that waits, or a grant that was not used."""
        self._proxy.cancel.defer(key, job_id)

    def finish(self, key: types.GroupKey, finish: types.JobResult) -> None:
        """Tells how a granted job ended."""
        self._proxy.finish.defer(key, finish)

    def set_engines(
        self,
        key: types.GroupKey,
        endpoints: Sequence[Endpoint],
        limits: types.EngineLimits,
        policy: GroupPolicy | None = None,
    ) -> None:
        """Tells the engines and the policy of a group."""
        self._proxy.set_engines.defer(key, endpoints, limits, policy)

    def drop_group(self, key: types.GroupKey) -> None:
        """Tells that another instance owns the group now."""
        self._proxy.drop_group.defer(key)

    def report(self, key: types.GroupKey, report: types.EngineReport) -> None:
        """Tells an engine's load report."""
        self._proxy.report.defer(key, report)

    def cache_event(self, key: types.GroupKey, event: types.CacheEvent) -> None:
        """Tells a change of an engine's prefix cache."""
        self._proxy.cache_event.defer(key, event)

    def program_paused(
        self, key: types.GroupKey, program_id: str, pause_s: float
    ) -> None:
        """Tells that a program waits for a tool."""
        self._proxy.program_paused.defer(key, program_id, pause_s)

    def program_ended(self, key: types.GroupKey, program_id: str) -> None:
        """Tells that a program has ended."""
        self._proxy.program_ended.defer(key, program_id)

    def tick(self) -> None:
        """Lets the dispatcher end what has passed its time."""
        self._proxy.tick.defer()

    def summaries(self) -> pykka.Future[list[types.GroupSummary]]:
        """Returns a future of the load of all groups."""
        future: pykka.Future[list[types.GroupSummary]]
        future = self._proxy.summaries()
        return future


class Ticker(threading.Thread):
    """Timer thread that only tells the dispatcher to tick."""

    def __init__(
        self, client: DispatcherClient, interval_s: float = TICK_INTERVAL_S
    ):
        """Prepares the thread; `start()` begins."""
        super().__init__(name='routing-ticker', daemon=True)
        self._client = client
        self._every_s = interval_s
        self._stopping = threading.Event()

    def run(self) -> None:
        """Ticks until stopped."""
        while not self._stopping.wait(self._every_s):
            self._client.tick()

    def stop(self) -> None:
        """Ends the thread."""
        self._stopping.set()
        self.join()
