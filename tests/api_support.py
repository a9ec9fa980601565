"""Fixtures that serve the caller API with a fake program service."""

import pytest

from cactusledge.api.app import ApiApp
from cactusledge.api.handlers import ApiContext
from cactusledge.api.server import ApiServer, ServerLimits
from cactusledge.models import Address, Answer, Outcome
from cactusledge.programs.calls.stream import CallStream
from cactusledge.programs.views import HistoryEntry, ProgramView
from cactusledge.telemetry.metrics import Metrics
from cactusledge.telemetry.traces import Traces
from standins.deployment import ROOT
from standins.ports import LOOPBACK, free_port

TOKEN = 'token-1'
OPENAPI = (ROOT / 'cactusledge/api/openapi.json').read_bytes()
LIMITS = ServerLimits(
    worker_threads=4,
    max_connections=8,
    max_body_bytes=2000,
    max_header_bytes=4000,
    socket_timeout_s=1,
    shutdown_timeout_s=1,
)
PROGRAM_VIEW = ProgramView(
    program_id='bole-0.ab',
    account='buyers',
    definition='itinerary',
    parent='',
    next_seq=1,
    budget=10,
    spent=0,
    reserved=0,
    ended=False,
    end_reason='',
    durable=True,
)


HISTORY_ENTRY = HistoryEntry(
    seq=1,
    key='k',
    kind='model',
    target='booking-agent',
    operation='chat',
    request={},
    outcome='RAN',
    status=200,
    answer={'text': 'a'},
    spent=3,
)


class FakePrograms:
    """Returns fixed replies, or raises the error that a test sets."""

    def __init__(self):
        self.error = None
        self.answer = Answer('bole-0.ab', 1, Outcome.RAN, 200, {'text': 'a'}, 3)

    def open_program(self, args):
        return self._reply(PROGRAM_VIEW)

    def call(self, args):
        stream = CallStream()
        stream.put_text('a')
        stream.finish(self.answer)
        return self._reply(stream)

    def view(self, account, program_id):
        return self._reply(PROGRAM_VIEW)

    def history(self, account, program_id):
        return self._reply((HISTORY_ENTRY,))

    def end_program(self, account, program_id, reason):
        return self._reply(PROGRAM_VIEW)

    def is_ready(self):
        return False

    def status(self):
        return {'instance': 'entry-1'}

    def metrics_text(self):
        return b'# metrics\n'

    def _reply(self, reply):
        if self.error is not None:
            raise self.error
        return reply


@pytest.fixture
def programs():
    return FakePrograms()


@pytest.fixture
def port(programs):
    ctx = ApiContext(
        programs=programs,
        report=programs,
        find_account={TOKEN: 'buyers'}.get,
        call_timeout_s=1,
        openapi=OPENAPI,
        metrics=Metrics(),
        traces=Traces(instance='entry-1', data_centre='bole'),
    )
    address = Address(LOOPBACK, free_port())
    server = ApiServer(address, ApiApp(ctx, LIMITS.max_body_bytes), LIMITS)
    server.start()
    yield server.port
    server.stop()
