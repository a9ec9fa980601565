"""The application object: builds an instance's parts, starts and stops them."""

import random
import threading
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from importlib.resources import files
from typing import Any

import pykka

from cactusledge.api.app import ApiApp
from cactusledge.api.handlers import ApiContext
from cactusledge.api.server import ApiServer, ServerLimits
from cactusledge.endpoints.directory import EndpointDirectory
from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient
from cactusledge.environment import Environment
from cactusledge.models import CallKind, CallSpec, Endpoint
from cactusledge.programs.claims import Fence, InstanceView, wanted_logs
from cactusledge.programs.ids import log_names
from cactusledge.programs.leases import LeaseDesk
from cactusledge.programs.durability import CommitWait
from cactusledge.programs.log_opener import OpenerParts, StoreLogOpener
from cactusledge.programs.logs import LogManager, LogTable
from cactusledge.programs.router import Home, LocalPrograms, ProgramRouter
from cactusledge.programs.runner import CallRunner
from cactusledge.programs.sending import ModelSender, ServiceSender
from cactusledge.programs.work import WorkPool, engines_of
from cactusledge.protocol.records import ProgramRecord
from cactusledge.routing.client import DispatcherClient, Ticker
from cactusledge.routing.dispatcher import Dispatcher
from cactusledge.routing.policy import LATENCY_FIRST
from cactusledge.routing.types import EngineLimits, GroupKey
from cactusledge.settings.configuration import Operation
from cactusledge.settings.follower import ConfigFollower
from cactusledge.settings.sections import InstanceSettings
from cactusledge.telemetry.logs import configure_logs, get_logger
from cactusledge.telemetry.metrics import Metrics
from cactusledge.telemetry.traces import Traces, new_exporter

TICK_S = 0.5
INSTANCES_KIND = 'instances'
STOP_WAIT_S = 5.0

log = get_logger('entry')


class NoHeldRecords:
    """Holds nothing: there are no peers."""

    def fetch(self, log_name: str) -> tuple[ProgramRecord, ...]:
        """Returns nothing."""
        return ()

    def hold(self, log_name: str, records: Sequence[ProgramRecord]) -> bool:
        """Holds nothing."""
        return False

    def drop(self, log_name: str) -> None:
        """Does nothing."""


class Application:
    """Owns every part of an entry instance."""

    def __init__(self, settings: InstanceSettings, env: Environment) -> None:
        """Builds the parts; `start` sets them going."""
        self._settings = settings
        self._identity = settings.instance
        configure_logs(
            env.stderr,
            log_format=settings.logs.format,
            level=settings.logs.level,
            instance=self._identity.name,
            data_centre=self._identity.data_centre,
        )
        self._metrics = Metrics()
        self._traces = Traces(
            instance=self._identity.name,
            data_centre=self._identity.data_centre,
            exporter=new_exporter(
                settings.traces.exporter,
                settings.traces.path,
            ),
            sample_ratio=settings.traces.sample_ratio,
        )
        self._store = env.open_store(
            settings.platform.addresses,
            settings.platform.timeout_s,
        )
        self._config = ConfigFollower(self._store)
        self._workers = ThreadPoolExecutor(
            settings.limits.worker_threads,
            thread_name_prefix='worker',
        )
        self._directory = EndpointDirectory(self._identity.data_centre)
        self._pools = ConnectionPools()
        self._stopping = threading.Event()
        self._ready = threading.Event()
        self._build_routing()
        self._build_programs()
        self._build_api()

    def start(self) -> None:
        """Starts every part; returns once the API listens."""
        self._config.start()
        self._ticker.start()
        self._api.start()
        self._timer = threading.Thread(target=self._run_timer, daemon=True)
        self._timer.start()
        log.info('Started.', api=str(self._settings.listen.api))

    def stop(self) -> int:
        """Stops gracefully; returns the number of calls that were cut."""
        self._ready.clear()
        log.info('Stopping.')
        time.sleep(self._settings.shutdown.balancer_grace_s)
        drain_s = self._settings.shutdown.drain_timeout_s
        left = self._logs.drain(time.monotonic() + drain_s)
        self._stopping.set()
        self._api.stop()
        self._timer.join(STOP_WAIT_S)
        self._ticker.stop()
        self._config.stop()
        self._workers.shutdown(wait=False, cancel_futures=True)
        pykka.ActorRegistry.stop_all(timeout=STOP_WAIT_S)
        self._pools.close()
        self._traces.stop()
        log.info('Stopped.', calls_cut=left)
        return left

    def is_ready(self) -> bool:
        """Returns whether the balancer should send requests here."""
        return self._ready.is_set()

    def status(self) -> Mapping[str, Any]:
        """Returns the document of `GET /status`."""
        return {
            'instance': self._identity.name,
            'data_centre': self._identity.data_centre,
            'ready': self.is_ready(),
            'generation': self._config.current().generation,
            'logs': list(self._table.names()),
            'endpoints': [one.name for one in self._directory.all()],
        }

    def metrics_text(self) -> bytes:
        """Returns the metrics in Prometheus's text format."""
        return self._metrics.render()

    def _build_routing(self) -> None:
        self._dispatcher = Dispatcher.start(
            owner=self._identity.name,
            settings=LATENCY_FIRST,
            emit=lambda effect: None,
        )
        self._grants = DispatcherClient(self._dispatcher)
        self._ticker = Ticker(self._grants)
        self._desk = LeaseDesk(self._directory, self._grants, random.choice)

    def _build_programs(self) -> None:
        self._table = LogTable()
        engines = EngineClient(self._pools)
        services = ServiceClient(self._pools)
        opener = StoreLogOpener(
            OpenerParts(
                store=self._store,
                instance=self._identity.name,
                journal=self._settings.journal,
                workers=self._workers,
                config=self._config.current,
                held=NoHeldRecords(),
                now_s=time.time,
            ),
        )
        durability = CommitWait(opener.is_up, opener.hold_waiting)
        senders = {
            CallKind.MODEL: ModelSender(self._desk, engines, self._price_of),
            CallKind.SERVICE: ServiceSender(
                self._desk,
                services,
                self._operation_of,
            ),
        }
        runner = CallRunner(senders, durability, self._traces)
        opener.work = WorkPool(
            self._workers,
            runner,
            engines,
            services,
            self._directory,
            lambda: engines_of(self._directory.all()),
        )
        self._logs = LogManager(
            self._table,
            opener,
            self._workers,
            self._wanted_logs,
            lambda: None,
        )
        home = Home(
            self._identity.data_centre,
            self._settings.journal.logs_per_data_centre,
        )
        local = LocalPrograms(self._table, durability)
        self._programs = ProgramRouter(home, local, lambda name: None)

    def _build_api(self) -> None:
        limits = self._settings.limits
        ctx = ApiContext(
            programs=self._programs,
            report=self,
            find_account=self._find_account,
            request_timeout_s=limits.request_timeout_s,
            openapi=files('cactusledge.api')
            .joinpath('openapi.json')
            .read_bytes(),
        )
        self._api = ApiServer(
            self._settings.listen.api,
            ApiApp(ctx, limits.max_body_bytes),
            ServerLimits(
                worker_threads=limits.worker_threads,
                max_connections=limits.max_connections,
                max_body_bytes=limits.max_body_bytes,
                max_header_bytes=limits.max_header_bytes,
                socket_timeout_s=limits.request_timeout_s,
            ),
        )

    def _run_timer(self) -> None:
        while not self._stopping.wait(TICK_S):
            try:
                self._tick()
            except Exception:
                log.exception('Tick failed.')

    def _tick(self) -> None:
        self._directory.replace(self._store.list(INSTANCES_KIND).items)
        self._set_engines()
        if self._config.current().generation:
            self._logs.tick()
            self._ready.set()

    def _set_engines(self) -> None:
        groups: dict[GroupKey, list[Endpoint]] = {}
        for engine in engines_of(self._directory.all()):
            key = GroupKey(engine.data_centre, engine.service)
            groups.setdefault(key, []).append(engine)
        for key, members in groups.items():
            self._grants.set_engines(key, members, EngineLimits())

    def _wanted_logs(self, fences: Mapping[str, Fence]) -> tuple[str, ...]:
        me = InstanceView(
            self._identity.name,
            self._identity.data_centre,
            leaving=False,
            logs=self._table.names(),
        )
        names = log_names(
            self._identity.data_centre,
            self._settings.journal.logs_per_data_centre,
        )
        return wanted_logs(
            me,
            (),
            names,
            fences,
            time.monotonic(),
            lambda log_name, candidates: min(candidates),
        )

    def _find_account(self, token: str) -> str | None:
        account = self._config.current().account_for_token(token)
        return account.name if account else None

    def _price_of(self, model: str) -> int:
        return self._config.current().model(model).units_per_token

    def _operation_of(self, spec: CallSpec) -> Operation:
        service = self._config.current().service(spec.target)
        return service.operation(spec.operation)
