"""Worker pool for calls, cache releases and program continuations."""

import time
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any

import pykka

from cactusledge.endpoints.engine import EngineClient
from cactusledge.endpoints.service import ServiceClient
from cactusledge.errors import CactusledgeError
from cactusledge.models import Endpoint
from cactusledge.programs import messages as msg
from cactusledge.programs.calls.runner import CallRunner
from cactusledge.programs.calls.tasks import CallTask, ReleaseTask
from cactusledge.programs.engines.leases import EndpointSource
from cactusledge.protocol.state import ANY_ENDPOINT
from cactusledge.settings.configuration import Program
from cactusledge.telemetry.logs import get_logger

CONTINUE_TIMEOUT_S = 10.0
RELEASE_TIMEOUT_S = 5.0

log = get_logger('programs')


class WorkPool:
    """Runs blocking work of the drivers in worker threads."""

    def __init__(
        self,
        workers: Executor,
        runner: CallRunner,
        engines: EngineClient,
        services: ServiceClient,
        endpoints: EndpointSource,
        all_engines: Callable[[], tuple[Endpoint, ...]],
        on_ended: Callable[[str, str], None],
    ) -> None:
        """Sets up the pool.

        `on_ended` is called at a program's end for each engine it used.
        """
        self._on_ended = on_ended
        self._workers = workers
        self._runner = runner
        self._engines = engines
        self._services = services
        self._endpoints = endpoints
        self._all_engines = all_engines

    def run_call(self, task: CallTask) -> None:
        """Runs the call in a worker."""
        self._submit(self._runner.run, task)

    def release_cache(self, task: ReleaseTask) -> None:
        """Releases a program's cache in a worker."""
        self._submit(self._release, task)

    def continue_program(self, program_id: str, program: Program) -> None:
        """Calls the service that the definition names for continuations."""
        self._submit(self._continue, program_id, program)

    def _submit(self, work: Callable[..., None], *args: Any) -> None:
        self._workers.submit(_run_logged, work, *args)

    def _release(self, task: ReleaseTask) -> None:
        done = all(
            self._release_at(endpoint, task.program_id)
            for endpoint in self._engines_of(task.endpoint)
        )
        self._on_ended(task.program_id, task.endpoint)
        _tell(task.driver, msg.Released(task.program_id, task.endpoint, done))

    def _engines_of(self, name: str) -> tuple[Endpoint, ...]:
        """Returns the engines to release the cache at.

        A removed engine holds no cache and is left out.
        """
        if name == ANY_ENDPOINT:
            return self._all_engines()
        endpoint = self._endpoints.find(name)
        return (endpoint,) if endpoint else ()

    def _release_at(self, endpoint: Endpoint, program_id: str) -> bool:
        try:
            self._engines.release_cache(
                endpoint,
                program_id,
                deadline_s=time.monotonic() + RELEASE_TIMEOUT_S,
            )
        except CactusledgeError as exc:
            log.info(
                'Cannot release the cache at the engine.',
                endpoint=endpoint.name,
                reason=exc.message,
            )
            return False
        return True

    def _continue(self, program_id: str, program: Program) -> None:
        continuation = program.continuation
        if continuation is None:
            return
        replicas = self._endpoints.available(continuation.service)
        if not replicas:
            log.warning(
                'No replica available to continue the program.',
                program_id=program_id,
            )
            return
        try:
            self._services.call(
                replicas[0],
                continuation.operation,
                {'program_id': program_id},
                idempotent=False,
                key=f'{program_id}:continue',
                deadline_s=time.monotonic() + CONTINUE_TIMEOUT_S,
                headers={'X-Program-Id': program_id},
            )
        except CactusledgeError as exc:
            log.warning('Program not continued.', reason=exc.message)


def _run_logged(work: Callable[..., None], *args: Any) -> None:
    try:
        work(*args)
    except Exception:
        log.exception('Worker task failed.')


def _tell(driver: pykka.ActorRef[Any], message: Any) -> None:
    try:
        driver.tell(message)
    except pykka.ActorDeadError:
        log.info('Result dropped: the log has a new owner.')
