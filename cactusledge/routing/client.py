"""Client of the dispatcher, used by drivers and by the peer server."""

import threading
from collections.abc import Sequence

import pykka

from cactusledge.models import Endpoint
from cactusledge.routing import types
from cactusledge.routing.dispatcher import Dispatcher, GrantFuture
from cactusledge.routing.policy import GroupPolicy

TICK_INTERVAL_S = 1.0


class DispatcherClient:
    """Sends messages to a dispatcher; no method blocks."""

    def __init__(self, actor: pykka.ActorRef[Dispatcher]) -> None:
        """Wraps the reference to the dispatcher actor."""
        self._proxy = actor.proxy()

    def request(self, key: types.GroupKey, job: types.Job) -> GrantFuture:
        """Returns a future of the job's grant.

        The future raises `OverloadedError`, with a retry delay, if the job
        is refused.
        """
        future: GrantFuture = pykka.ThreadingFuture()
        self._proxy.submit.defer(key, job, future)
        return future

    def cancel(self, key: types.GroupKey, job_id: str) -> None:
        """Cancels a queued job or returns an unused grant."""
        self._proxy.cancel.defer(key, job_id)

    def finish(self, key: types.GroupKey, result: types.JobResult) -> None:
        """Reports the result of a granted job."""
        self._proxy.finish.defer(key, result)

    def set_engines(
        self,
        key: types.GroupKey,
        endpoints: Sequence[Endpoint],
        limits: types.EngineLimits,
        policy: GroupPolicy | None = None,
    ) -> None:
        """Sets the engines and the policy of a group."""
        self._proxy.set_engines.defer(key, endpoints, limits, policy)

    def drop_group(self, key: types.GroupKey) -> None:
        """Drops a group that another instance owns now."""
        self._proxy.drop_group.defer(key)

    def report(self, key: types.GroupKey, report: types.EngineReport) -> None:
        """Forwards an engine's load report."""
        self._proxy.report.defer(key, report)

    def cache_event(self, key: types.GroupKey, event: types.CacheEvent) -> None:
        """Forwards a change of an engine's prefix cache."""
        self._proxy.cache_event.defer(key, event)

    def program_paused(
        self, key: types.GroupKey, program_id: str, pause_s: float
    ) -> None:
        """Reports that a program is waiting for a tool."""
        self._proxy.program_paused.defer(key, program_id, pause_s)

    def program_ended(self, key: types.GroupKey, program_id: str) -> None:
        """Reports that a program has ended."""
        self._proxy.program_ended.defer(key, program_id)

    def tick(self) -> None:
        """Triggers the expiry of jobs, grants and idle programs."""
        self._proxy.tick.defer()

    def summaries(self) -> pykka.Future[list[types.GroupSummary]]:
        """Returns a future of the load summaries of all groups."""
        future: pykka.Future[list[types.GroupSummary]]
        future = self._proxy.summaries()
        return future


class Ticker(threading.Thread):
    """Timer thread that sends periodic ticks to the dispatcher."""

    def __init__(
        self, client: DispatcherClient, interval_s: float = TICK_INTERVAL_S
    ):
        """Initializes the thread; `start()` starts it."""
        super().__init__(name='routing-ticker', daemon=True)
        self._client = client
        self._every_s = interval_s
        self._stopping = threading.Event()

    def run(self) -> None:
        """Sends ticks until the thread is stopped."""
        while not self._stopping.wait(self._every_s):
            self._client.tick()

    def stop(self) -> None:
        """Stops the thread and waits until it has ended."""
        self._stopping.set()
        self.join()
