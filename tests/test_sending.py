"""Senders: reported outcomes of calls, also after several attempts."""

import time
from contextlib import nullcontext

import pytest

from cactusledge.endpoints.engine import EngineClient, EngineLimits
from cactusledge.endpoints.pools import ConnectionPools
from cactusledge.endpoints.service import ServiceClient
from cactusledge.errors import CactusledgeError
from cactusledge.models import Address, CallKind, CallSpec, Endpoint, Outcome
from cactusledge.programs.calls.model_sender import ModelSender
from cactusledge.programs.calls.sending import Lease
from cactusledge.programs.calls.service_sender import ServiceSender
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.calls.tasks import CallTask
from cactusledge.protocol.program import replay
from cactusledge.protocol.records import Opened
from cactusledge.settings.configuration import Operation, Program
from cactusledge.telemetry.traces import Traces
from standins.engine import EngineSettings, EngineStandin
from standins.service import Operation as Served
from standins.service import ServiceSettings, ServiceStandin
from standins.service_faults import Fault, FaultKind

PROGRAM = Program('itinerary', ('m',), ('s',), 1000, 10, 60, 60, 10, 10)
OPENED = Opened('bole-0.ab', 0, b'', 'a', 'itinerary', 1000, '', 0, 60, 10)


LOST_THEN_REFUSED = (
    FaultKind.RESET_AFTER_EFFECT,
    FaultKind.ERROR_NOT_RUN,
    FaultKind.ERROR_NOT_RUN,
    FaultKind.ERROR_NOT_RUN,
)


class Pauses:
    """Ignores pauses."""

    def pause(self, task):
        return nullcontext()


class OneEndpoint:
    """Leases always the same endpoint."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.errors = []

    def lease_engine(self, req):
        return Lease(self.endpoint)

    def lease_service(self, service, avoid):
        return Lease(self.endpoint)

    def finish(self, lease, report):
        self.errors.append(report.error)


@pytest.fixture
def traces():
    return Traces(instance='entry-1', data_centre='bole')


@pytest.fixture
def service():
    served = {'op': Served(idempotent=True), 'once': Served(idempotent=False)}
    standin = ServiceStandin(ServiceSettings('s-1', 's', operations=served))
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def engine():
    standin = EngineStandin(EngineSettings('m-1', 'm'))
    standin.start()
    yield standin
    standin.stop()


def endpoint_of(standin, kind):
    address = Address('127.0.0.1', standin.port)
    return Endpoint('one', kind.value[0], kind, address, 'bole')


def task_of(kind, operation, idempotent):
    spec = CallSpec(
        program_id='bole-0.ab',
        seq=1,
        key='k',
        kind=kind,
        target=kind.value[0],
        operation=operation,
        idempotent=idempotent,
        body={'messages': [{'role': 'user', 'content': 'Plan.'}]},
        reserve=100,
        max_output_tokens=4,
    )
    return CallTask(
        spec=spec,
        state=replay([OPENED])['bole-0.ab'],
        program=PROGRAM,
        stream=CallStream(),
        intent=None,
        driver=None,
        deadline_s=time.monotonic() + 10,
    )


@pytest.mark.parametrize(
    ('operation', 'faults', 'outcome', 'executions'),
    [
        ('op', [], Outcome.RAN, 1),
        ('op', [FaultKind.ERROR_NOT_RUN], Outcome.RAN, 1),
        ('op', [FaultKind.RESET_AFTER_EFFECT], Outcome.RAN, 2),
        (
            'op',
            LOST_THEN_REFUSED,
            Outcome.UNKNOWN,
            1,
        ),
        ('once', [FaultKind.ERROR_NOT_RUN], Outcome.NOT_RUN, 0),
        ('once', [FaultKind.RESET_AFTER_EFFECT], Outcome.UNKNOWN, 1),
    ],
)
def test_service_call_outcome(
    traces, service, operation, faults, outcome, executions
):
    routing = OneEndpoint(endpoint_of(service, CallKind.SERVICE))
    sender = ServiceSender(
        routing,
        ServiceClient(ConnectionPools()),
        lambda spec: Operation(spec.operation, operation == 'op', 1, 5),
        traces,
        Pauses(),
    )
    service.set_faults(*[Fault(kind, 1) for kind in faults])
    task = task_of(CallKind.SERVICE, operation, operation == 'op')
    try:
        actual = sender.send(task, {}).answer.outcome
    except CactusledgeError as exc:
        actual = exc.outcome
    assert actual is outcome
    assert len(service.records()['executions']) == executions


@pytest.mark.parametrize(
    ('faults', 'outcome'),
    [
        ([], Outcome.RAN),
        ([Fault(FaultKind.ERROR_NOT_RUN, 2)], Outcome.RAN),
        ([Fault(FaultKind.ERROR_NOT_RUN, 9)], Outcome.NOT_RUN),
        (
            [
                Fault(FaultKind.ERROR_AFTER_EFFECT, 1),
                Fault(FaultKind.ERROR_NOT_RUN, 9),
            ],
            Outcome.UNKNOWN,
        ),
    ],
)
def test_model_call_outcome_names_every_touched_engine(
    traces, engine, faults, outcome
):
    routing = OneEndpoint(endpoint_of(engine, CallKind.MODEL))
    limits = EngineLimits(resumptions=0)
    engines = EngineClient(ConnectionPools(), limits)
    sender = ModelSender(routing, engines, lambda model: 2, traces)
    engine.set_faults(*faults)
    sent = sender.send(task_of(CallKind.MODEL, 'chat', True), {})
    assert sent.answer.outcome is outcome
    assert set(sent.touched) == {'one'}
    used = sent.answer.usage
    assert sent.answer.spent == 2 * (used.prompt_tokens + used.output_tokens)
