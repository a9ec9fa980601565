"""Builds what all components of an instance share."""

from concurrent.futures import Executor, ThreadPoolExecutor
from typing import NamedTuple

from cactusledge.environment import Environment
from cactusledge.objects.instrumented_store import InstrumentedStore
from cactusledge.objects.store import ObjectStore
from cactusledge.settings.follower import ConfigFollower
from cactusledge.settings.sections import InstanceSettings
from cactusledge.telemetry.logs import configure_logs
from cactusledge.telemetry.metrics import Metrics
from cactusledge.telemetry.traces import Traces, new_exporter


class Base(NamedTuple):
    """Settings, telemetry, platform client, configuration and thread pools."""

    settings: InstanceSettings
    metrics: Metrics
    traces: Traces
    store: ObjectStore
    config: ConfigFollower
    workers: Executor  # run calls, cache releases and journal writes
    forwarding_workers: Executor  # follow calls forwarded to peers

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.settings.instance.name

    @property
    def data_centre(self) -> str:
        """Data centre of this instance."""
        return self.settings.instance.data_centre

    def stop(self) -> None:
        """Stops the background threads and exports the pending spans."""
        self.config.stop()
        self.workers.shutdown(wait=False, cancel_futures=True)
        self.forwarding_workers.shutdown(wait=False, cancel_futures=True)
        self.traces.stop()


def build_base(settings: InstanceSettings, env: Environment) -> Base:
    """Returns the shared components; starts only logging and tracing."""
    identity = settings.instance
    configure_logs(
        env.stderr,
        log_format=settings.logs.format,
        level=settings.logs.level,
        instance=identity.name,
        data_centre=identity.data_centre,
    )
    traces = Traces(
        instance=identity.name,
        data_centre=identity.data_centre,
        exporter=new_exporter(settings.traces.exporter, settings.traces.path),
        sample_ratio=settings.traces.sample_ratio,
    )
    platform = settings.platform
    metrics = Metrics()
    store = InstrumentedStore(
        env.open_store(platform.addresses, platform.timeout_s),
        metrics,
    )
    threads = settings.limits.worker_threads
    return Base(
        settings=settings,
        metrics=metrics,
        traces=traces,
        store=store,
        config=ConfigFollower(store),
        workers=ThreadPoolExecutor(threads, thread_name_prefix='worker'),
        forwarding_workers=ThreadPoolExecutor(
            threads, thread_name_prefix='follower'
        ),
    )
