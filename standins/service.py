"""Stand-in of a plain service; `python -m standins.service` runs one."""

import json
import threading
import time
from collections import deque
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

from standins.http import (
    LEAVING_HEADERS,
    NOT_RUN_HEADERS,
    Reply,
    Request,
    Route,
    Router,
    json_reply,
)
from standins.service_cli import common_parser, run_until_signal
from standins.service_faults import Fault, FaultKind
from standins.service_register import Registrar, Registration, new_incarnation
from standins.service_server import FaultyServer

RECORDS_KEPT = 100_000
RUNS_KEPT = 10_000


class Operation(NamedTuple):
    """How one operation of the service behaves."""

    idempotent: bool = True
    cost: int = 1  # budget units
    delay_s: float = 0
    dedupe: bool = False  # a repeated key gets the first answer, no second run
    status_query: bool = False


class ServiceSettings(NamedTuple):
    """Everything that can be set of a service stand-in."""

    name: str
    service: str
    data_centre: str = ''
    listen: tuple[str, int] = ('127.0.0.1', 0)
    register: str = ''  # host:port of the platform, '' to stay out of the list
    threads: int = 32
    operations: Mapping[str, Operation] = {}


class ServiceStandin:
    """A service that records every execution."""

    def __init__(self, cfg: ServiceSettings) -> None:
        """Takes the settings; `start` begins to serve."""
        self.cfg = cfg
        self.incarnation = new_incarnation()
        self.leaving = False
        self.executions: deque[dict[str, Any]] = deque(maxlen=RECORDS_KEPT)
        self.received = 0
        self.refused = 0  # calls that came while it was leaving
        self._ran: dict[tuple[str, str], dict[str, Any]] = {}
        self._server = FaultyServer(self._router(), cfg.listen, cfg.threads)
        self._registrar = Registrar(cfg.register) if cfg.register else None
        self._lock = threading.Lock()

    @property
    def port(self) -> int:
        """The TCP port that it listens on, once started."""
        return self._server.port

    def start(self) -> None:
        """Serves and, if it was asked to, registers at the platform."""
        self._server.start()
        self._register()

    def stop(self) -> None:
        """Stops without waiting for calls in flight."""
        if self._registrar is not None:
            self._registrar.stop()
        self._server.stop()

    def leave(self) -> None:
        """Refuses new calls from now on."""
        self.leaving = True
        self._register()

    def set_faults(self, *faults: Fault) -> None:
        """Switches the given faults on and all others off."""
        self._server.set_faults(faults)

    def records(self) -> dict[str, Any]:
        """Returns every execution, and how many calls have arrived."""
        return {
            'incarnation': self.incarnation,
            'executions': list(self.executions),
            'received': self.received,
            'refused': self.refused,
        }

    def _router(self) -> Router:
        return Router(
            Route('POST', '/operations/([^/]+)', self._call),
            Route('GET', '/operations/([^/]+)/(.+)', self._query),
            Route('POST', '/leave', self._leave),
            Route('GET', '/records', self._report_records),
        )

    def _register(self) -> None:
        if self._registrar is not None:
            self._registrar.publish(self._registration())

    def _registration(self) -> Registration:
        return Registration(
            name=self.cfg.name,
            kind='service',
            service=self.cfg.service,
            address=f'{self.cfg.listen[0]}:{self.port}',
            data_centre=self.cfg.data_centre,
            incarnation=self.incarnation,
            leaving=self.leaving,
        )

    def _call(self, request: Request, name: str) -> Reply:
        operation = self.cfg.operations.get(name)
        if self.leaving:
            self.refused += 1
            return json_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'leaving'},
                LEAVING_HEADERS,
            )
        if operation is None:
            error = {'error': 'no such operation'}
            return json_reply(HTTPStatus.NOT_FOUND, error, NOT_RUN_HEADERS)
        key = request.headers.get('idempotency-key', '')
        answer = self._execute(request, name, key, operation)
        return json_reply(HTTPStatus.OK, answer, (_key_header(request, key),))

    def _execute(
        self,
        request: Request,
        name: str,
        key: str,
        operation: Operation,
    ) -> dict[str, Any]:
        with self._lock:
            self.received += 1
        time.sleep(operation.delay_s)
        with self._lock:
            first = self._ran.get((name, key))
            if operation.dedupe and first is not None:
                return first
            self.executions.append(_record(request, name, key))
            answer = _answer(request, name, operation)
            self._ran[name, key] = answer
            if len(self._ran) > RUNS_KEPT:
                self._ran.pop(next(iter(self._ran)))
        return answer

    def _query(self, _request: Request, name: str, key: str) -> Reply:
        operation = self.cfg.operations.get(name, Operation())
        if not operation.status_query:
            return json_reply(
                HTTPStatus.NOT_FOUND, {'error': 'no status query'}
            )
        with self._lock:
            answer = self._ran.get((name, key))
        document = {'key': key, 'ran': answer is not None, 'answer': answer}
        return json_reply(HTTPStatus.OK, document)

    def _leave(self, _request: Request) -> Reply:
        self.leave()
        return json_reply(HTTPStatus.OK, {})

    def _report_records(self, _request: Request) -> Reply:
        return json_reply(HTTPStatus.OK, self.records())


def _key_header(request: Request, key: str) -> tuple[str, str]:
    fault = request.fault
    crossed = fault is not None and fault.kind is FaultKind.CROSSED
    return 'Idempotency-Key', 'another-key' if crossed else key


def _record(request: Request, name: str, key: str) -> dict[str, Any]:
    return {
        'operation': name,
        'key': key,
        'program': request.headers.get('x-program-id', ''),
        'seq': request.headers.get('x-sequence', ''),
        'traceparent': request.headers.get('traceparent', ''),
    }


def _answer(
    request: Request,
    name: str,
    operation: Operation,
) -> dict[str, Any]:
    return {
        'operation': name,
        'cost': operation.cost,
        'echo': request.document(),
    }


def parse_operation(text: str) -> tuple[str, Operation]:
    """Returns the operation of `name={"idempotent": false, ...}`."""
    name, _, fields = text.partition('=')
    return name, Operation(**json.loads(fields or '{}'))


def main() -> None:
    """Runs one service until a signal."""
    parser = common_parser('Stand-in of a plain service.')
    parser.add_argument('--service', required=True)
    parser.add_argument(
        '--operation',
        action='append',
        type=parse_operation,
        default=[],
    )
    args = parser.parse_args()
    cfg = ServiceSettings(
        name=args.name,
        service=args.service,
        data_centre=args.data_centre,
        listen=args.listen,
        register=args.register,
        threads=args.threads,
        operations=dict(args.operation),
    )
    run_until_signal(ServiceStandin(cfg), args.port_file)


if __name__ == '__main__':
    main()
