"""Stand-in of a model engine; `python -m standins.engine` runs one."""

import threading
import time
from collections import deque
from http import HTTPStatus
from typing import Any

from standins.engine_batch import Batch, Stream
from standins.engine_orders import EngineState, OrderDesk
from standins.engine_settings import (
    EngineSettings,
    engine_parser,
    engine_settings,
)
from standins.engine_wire import NO_FAULT, event_stream, job_of, whole_answer
from standins.http import (
    LEAVING_HEADERS,
    Reply,
    Request,
    Route,
    Router,
    json_reply,
)
from standins.service_cli import run_until_signal
from standins.service_faults import Fault
from standins.service_register import Registrar, Registration, new_incarnation
from standins.service_server import FaultyServer

RECORDS_KEPT = 100_000
STREAM_TYPE = 'text/event-stream'


class EngineStandin:
    """An engine that makes deterministic text and records what it was asked."""

    def __init__(self, cfg: EngineSettings) -> None:
        """Takes the port; `start` begins to serve."""
        self.cfg = cfg
        self.incarnation = new_incarnation()
        self.leaving = False
        self.refused = 0  # requests that came while it was leaving
        self.batch = Batch(cfg.batch, cfg.cache)
        self.orders = OrderDesk(
            EngineState(model=cfg.model),
            ignore_fencing=cfg.ignore_fencing,
            order_s=cfg.order_s,
        )
        self.requests: deque[Stream] = deque(maxlen=RECORDS_KEPT)
        self._server = FaultyServer(self._router(), cfg.listen, cfg.threads)
        self._registrar = Registrar(cfg.register) if cfg.register else None
        self._load = (time.monotonic(), self.batch.load())
        self._lock = threading.Lock()

    @property
    def port(self) -> int:
        """The TCP port that it listens on, once started."""
        return self._server.port

    def start(self) -> None:
        """Serves and, if it was asked to, registers at the platform."""
        self.batch.start()
        self._server.start()
        self._register()

    def stop(self) -> None:
        """Stops without waiting for streams in flight."""
        if self._registrar is not None:
            self._registrar.stop()
        self.batch.stop()
        self._server.stop()

    def leave(self) -> None:
        """Refuses new requests from now on; running streams finish."""
        self.leaving = True
        self._register()

    def set_faults(self, *faults: Fault) -> None:
        """Switches the given faults on and all others off."""
        self._server.set_faults(faults)

    def records(self) -> dict[str, Any]:
        """Returns what it was asked and what it holds."""
        with self.batch.lock:
            held = self.batch.cache.held()
        return {
            'incarnation': self.incarnation,
            'requests': [_record(stream) for stream in tuple(self.requests)],
            'orders': list(self.orders.records),
            'cache': held,
            'refused': self.refused,
        }

    def _router(self) -> Router:
        return Router(
            Route('POST', '/v1/chat/completions', self._complete),
            Route('GET', '/v1/streams/(.+)', self._resume),
            Route('DELETE', '/v1/streams/(.+)', self._cancel),
            Route('GET', '/v1/load', self._report_load),
            Route('GET', '/v1/cache/events', self._report_events),
            Route('DELETE', '/v1/cache/(.+)', self._release),
            Route('GET', '/v1/cache/(.+)', self._export),
            Route('PUT', '/v1/cache/(.+)', self._import),
            Route('POST', '/v1/orders', self._order),
            Route('GET', '/v1/state', self._report_state),
            Route('POST', '/v1/leave', self._leave),
            Route('GET', '/records', self._report_records),
        )

    def _register(self) -> None:
        if self._registrar is not None:
            self._registrar.publish(self._registration())

    def _registration(self) -> Registration:
        return Registration(
            name=self.cfg.name,
            kind='model',
            service=self.cfg.model,
            address=f'{self.cfg.listen[0]}:{self.port}',
            data_centre=self.cfg.data_centre,
            incarnation=self.incarnation,
            leaving=self.leaving,
        )

    def _complete(self, request: Request) -> Reply:
        if self.leaving:
            self.refused += 1
            return json_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': 'leaving'},
                LEAVING_HEADERS,
            )
        request_id = request.headers.get('x-request-id', '')
        stream = self.batch.submit(job_of(request, request_id))
        self.requests.append(stream)
        fault = request.fault or NO_FAULT
        if request.document().get('stream'):
            events = event_stream(self.batch, stream, 0, fault)
            return Reply(HTTPStatus.OK, events, content_type=STREAM_TYPE)
        return Reply(HTTPStatus.OK, whole_answer(self.batch, stream, fault))

    def _resume(self, request: Request, request_id: str) -> Reply:
        stream = self.batch.find(request_id)
        if stream is None:
            return json_reply(HTTPStatus.NOT_FOUND, {'error': 'no such stream'})
        offset = int(request.query.get('offset', 0))
        fault = request.fault or NO_FAULT
        events = event_stream(self.batch, stream, offset, fault)
        return Reply(HTTPStatus.OK, events, content_type=STREAM_TYPE)

    def _cancel(self, _request: Request, request_id: str) -> Reply:
        was_running = self.batch.cancel(request_id)
        return json_reply(HTTPStatus.OK, {'cancelled': was_running})

    def _report_load(self, _request: Request) -> Reply:
        now_s = time.monotonic()
        with self._lock:
            if now_s - self._load[0] >= self.cfg.load_lag_s:
                self._load = (now_s, self.batch.load())
            taken_s, load = self._load
        lag_s = now_s - taken_s
        return json_reply(HTTPStatus.OK, {**load._asdict(), 'lag_s': lag_s})

    def _report_events(self, request: Request) -> Reply:
        after = int(request.query.get('after', 0))
        with self.batch.lock:
            events = self.batch.cache.events(after)
        listed = [
            {
                'seq': event.seq,
                'type': event.type,
                'chunk': event.chunk,
                'program': event.program,
            }
            for event in events
        ]
        return json_reply(HTTPStatus.OK, {'events': listed})

    def _release(self, _request: Request, program: str) -> Reply:
        with self.batch.lock:
            freed = self.batch.cache.release(program)
        return json_reply(HTTPStatus.OK, {'freed_tokens': freed})

    def _export(self, _request: Request, program: str) -> Reply:
        with self.batch.lock:
            chunks = self.batch.cache.export_chunks(program)
        return json_reply(
            HTTPStatus.OK, {'model': self.cfg.model, 'chunks': chunks}
        )

    def _import(self, request: Request, program: str) -> Reply:
        chunks = request.document()['chunks']
        with self.batch.lock:
            self.batch.cache.import_chunks(chunks, program)
        return json_reply(HTTPStatus.OK, {'imported': len(chunks)})

    def _order(self, request: Request) -> Reply:
        accepted = self.orders.carry_out(request.document())
        status = HTTPStatus.OK if accepted else HTTPStatus.CONFLICT
        return json_reply(status, self._state_document())

    def _report_state(self, _request: Request) -> Reply:
        return json_reply(HTTPStatus.OK, self._state_document())

    def _state_document(self) -> dict[str, Any]:
        return {
            **self.orders.state._asdict(),
            'incarnation': self.incarnation,
            'leaving': self.leaving,
        }

    def _leave(self, _request: Request) -> Reply:
        self.leave()
        return json_reply(HTTPStatus.OK, {})

    def _report_records(self, _request: Request) -> Reply:
        return json_reply(HTTPStatus.OK, self.records())


def _record(stream: Stream) -> dict[str, Any]:
    job = stream.job
    return {
        'id': job.request_id,
        'program': job.program,
        'seq': job.seq,
        'prompt_digest': stream.digest,
        'prompt_tokens': len(job.words),
        'cached_tokens': stream.cached_tokens,
        'output_tokens': stream.produced,
        'state': stream.reason or 'running',
        'traceparent': job.traceparent,
    }


def main() -> None:
    """Runs one engine until a signal."""
    args = engine_parser().parse_args()
    standin = EngineStandin(engine_settings(args))
    run_until_signal(standin, args.port_file)


if __name__ == '__main__':
    main()
