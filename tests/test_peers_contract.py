"""Contract tests of the peer messages, with network faults."""

import threading
from functools import partial
from itertools import repeat

import pytest

from cactusledge.errors import ErrorCode, StoreUnavailableError
from cactusledge.models import Address, Outcome
from cactusledge.peers import messages as msg
from cactusledge.peers.channel import IDEMPOTENT
from cactusledge.peers.client import PeerClient
from cactusledge.peers.errors import (
    PeerAnswerLostError,
    PeerCallError,
    PeerMessageTooLargeError,
    PeerUnreachableError,
)
from cactusledge.peers.handler import PeerHandler
from cactusledge.peers.server import PeerServer
from cactusledge.peers.transport import MAX_MESSAGE_BYTES
from standins.faults import FaultyLink, LinkFault

TIMEOUT_S = 1  # for tests in which an answer is held back
WAIT_S = 20  # for all other tests
ANY_PORT = Address('127.0.0.1', 0)
CALL = msg.ForwardedCall('c', 'bole-p', 1, 'me', 2.5, b'\xff{}', {'a': 'b'})
VIEW = msg.MemberView('n', '::1', 1, 'bole', 2**41, 3, 1, leaving=True)
STATED = VIEW._replace(name='s', state={'g': b'\0\xff'})
DIGEST = msg.MemberDigest('n', 2**41, 3, 1, 700)
GRANT = msg.GrantRequest('j', 'group', 'me', b'{}', 50)

EXCHANGES = (
    (
        'heartbeat',
        (msg.Heartbeat('me', (VIEW, STATED), (DIGEST,)),),
        msg.HeartbeatReply((STATED,), (DIGEST,), ('x',)),
    ),
    ('forward_call', (CALL,), msg.CallHandle('c', 'driver')),
    (
        'poll_call',
        ('c', 7, 10),
        msg.EventBatch(
            (msg.CallEvent(7, 'ሰላም'), msg.CallEvent(8, None, b'{}')),
            9,
            finished=True,
        ),
    ),
    (
        'open_program',
        (msg.OpenRequest('p', b'{}'),),
        msg.ProgramReply('p', b'{}'),
    ),
    (
        'end_program',
        (msg.EndRequest('p', 'done'),),
        msg.ProgramReply('p', b'{}'),
    ),
    (
        'read_history',
        (msg.HistoryRequest('p', 3),),
        msg.HistoryReply('p', b'[]', complete=False),
    ),
    ('request_grant', (GRANT,), msg.GrantReply('j')),
    ('finish_grant', (msg.GrantFinish('g', 'group', b'{}'),), None),
    (
        'program_event',
        (msg.ProgramEvent('p', msg.ProgramEventKind.PAUSED, b'{}'),),
        None,
    ),
    ('hold_records', (msg.HeldBatch('log', 4, 'me', b'\0\xff'),), None),
    ('held_records', ('log',), (msg.HeldBatch('log', 4, 'me', b'\0\xff'),)),
    ('drop_held', ('log', 2**40), None),
    ('get_config', (6,), msg.ConfigReply(7, b'{}')),
)
EXCHANGE_NAMES = tuple(exchange[0] for exchange in EXCHANGES)


class Handler:
    """Returns the configured answers and records the received messages."""

    def __init__(self):
        self.answers = {method: reply for method, _, reply in EXCHANGES}
        self.received = []
        self.entered = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __getattr__(self, method):
        return partial(self._handle, method)

    def _handle(self, method, *args):
        self.received.append((method, args))
        self.entered.set()
        self.may_answer.wait()
        answer = self.answers[method]
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    peer = PeerServer(ANY_PORT, handler)
    peer.start()
    yield peer
    handler.may_answer.set()
    peer.stop()


@pytest.fixture
def link(server):
    with FaultyLink(server.address) as faulty:
        yield faulty


@pytest.fixture
def client(link):
    peer = PeerClient(link.address, WAIT_S)
    yield peer
    peer.close()


@pytest.fixture
def short_timeout_client(link):
    peer = PeerClient(link.address, TIMEOUT_S)
    yield peer
    peer.close()


@pytest.fixture
def fault_client(request, client, short_timeout_client):
    fault = request.getfixturevalue('fault')
    return short_timeout_client if fault is LinkFault.HOLD_ANSWER else client


@pytest.mark.parametrize(
    ('method', 'args', 'reply'),
    EXCHANGES,
    ids=EXCHANGE_NAMES,
)
def test_messages_arrive_unchanged(client, handler, method, args, reply):
    assert getattr(client, method)(*args) == reply
    assert handler.received == [(method, args)]


def test_every_method_is_covered():
    methods = {
        name for name in PeerHandler.__dict__ if not name.startswith('_')
    }
    assert set(EXCHANGE_NAMES) == set(IDEMPOTENT) == methods


@pytest.mark.parametrize(
    ('error', 'code', 'outcome', 'retry_after_s'),
    [
        (
            StoreUnavailableError('Down.', remedy='Wait.', retry_after_s=2),
            ErrorCode.STORE_UNAVAILABLE,
            Outcome.NOT_RUN,
            2,
        ),
        (
            PeerCallError(
                ErrorCode.FENCED,
                'Fenced.',
                remedy='Stop.',
                outcome=Outcome.RAN,
            ),
            ErrorCode.FENCED,
            Outcome.RAN,
            None,
        ),
        (KeyError('x'), ErrorCode.INTERNAL, Outcome.UNKNOWN, None),
    ],
)
def test_errors_reach_the_sender(
    client, handler, error, code, outcome, retry_after_s
):
    handler.answers['forward_call'] = error
    with pytest.raises(PeerCallError) as caught:
        client.forward_call(CALL)
    assert caught.value.code is code
    assert caught.value.outcome is outcome
    assert caught.value.retry_after_s == retry_after_s
    assert caught.value.remedy


ANSWER_LOST = (PeerAnswerLostError,)
NOT_DELIVERED = (PeerUnreachableError, PeerAnswerLostError)
FAULTS = (
    (LinkFault.RESET_BEFORE, 0, NOT_DELIVERED),
    (LinkFault.RESET_AFTER, 1, ANSWER_LOST),
    (LinkFault.HALF_ANSWER, 1, ANSWER_LOST),
    (LinkFault.HOLD_ANSWER, 1, ANSWER_LOST),
)


@pytest.mark.parametrize('warm', [False, True], ids=['new', 'pooled'])
@pytest.mark.parametrize(('fault', 'runs', 'errors'), FAULTS)
def test_a_message_not_idempotent_is_sent_once(
    fault_client,
    handler,
    link,
    fault,
    runs,
    errors,
    warm,
):
    warm_up(fault_client, handler, warm=warm)
    link.set_fault(fault)
    with pytest.raises(errors):
        fault_client.forward_call(CALL)
    assert handler.received == list(repeat(('forward_call', (CALL,)), runs))


@pytest.mark.parametrize(('fault', 'runs', 'errors'), FAULTS)
def test_an_idempotent_message_is_repeated_on_a_new_connection(
    fault_client,
    handler,
    link,
    fault,
    runs,
    errors,
):
    link.set_fault(fault)
    assert fault_client.get_config(6) == msg.ConfigReply(7, b'{}')
    assert handler.received == list(repeat(('get_config', (6,)), runs + 1))


def warm_up(client, handler, *, warm):
    if warm:
        client.get_config(0)
        handler.received.clear()


def test_a_refused_connection_is_not_delivered(client, link, handler):
    link.refuse()
    with pytest.raises(PeerUnreachableError) as caught:
        client.forward_call(CALL)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert not handler.received


def test_a_connection_closed_while_idle_is_not_used(handler):
    first = PeerServer(ANY_PORT, handler)
    first.start()
    client = PeerClient(first.address, WAIT_S)
    client.get_config(6)
    first.stop()
    second = PeerServer(first.address, handler)
    second.start()
    assert client.forward_call(CALL) == msg.CallHandle('c', 'driver')
    second.stop()


def test_unresponsive_connections_are_dropped_while_new_ones_work(
    short_timeout_client, link
):
    short_timeout_client.get_config(6)
    link.silence()
    assert short_timeout_client.forward_call(CALL) == msg.CallHandle(
        'c', 'driver'
    )
    link.silence()
    assert short_timeout_client.get_config(6) == msg.ConfigReply(7, b'{}')


def test_a_late_answer_reaches_no_other_call(
    short_timeout_client, link, handler
):
    link.set_fault(LinkFault.HOLD_ANSWER)
    with pytest.raises(PeerAnswerLostError):
        short_timeout_client.forward_call(CALL)
    handler.answers['forward_call'] = msg.CallHandle('d', 'driver')
    link.released.set()
    later = CALL._replace(call_id='d')
    assert short_timeout_client.forward_call(later) == msg.CallHandle(
        'd', 'driver'
    )


def test_a_duplicate_answer_reaches_no_other_call(client, link, handler):
    link.set_fault(LinkFault.DUPLICATE)
    client.poll_call('c', 7, 10)
    handler.answers['poll_call'] = msg.EventBatch((), 0, finished=False)
    assert client.poll_call('d', 0, 10) == handler.answers['poll_call']


def test_a_message_too_large_is_not_sent(client, handler):
    batch = msg.HeldBatch('log', 1, 'me', bytes(MAX_MESSAGE_BYTES))
    with pytest.raises(PeerMessageTooLargeError):
        client.hold_records(batch)
    assert not handler.received
    assert client.get_config(6)


def test_a_stop_answers_received_messages(server, handler, client):
    handler.may_answer.clear()
    replies = []
    caller = threading.Thread(
        target=lambda: replies.append(client.get_config(6)),
    )
    caller.start()
    handler.entered.wait()
    stopper = threading.Thread(target=server.stop)
    stopper.start()
    handler.may_answer.set()
    caller.join()
    stopper.join()
    assert replies == [msg.ConfigReply(7, b'{}')]
    with pytest.raises(PeerUnreachableError):
        PeerClient(server.address, WAIT_S).forward_call(CALL)


def test_connections_beyond_the_limit_are_closed(handler):
    server = PeerServer(ANY_PORT, handler, max_connections=1)
    server.start()
    first = PeerClient(server.address, WAIT_S)
    assert first.get_config(6)
    with pytest.raises(NOT_DELIVERED):
        PeerClient(server.address, WAIT_S).forward_call(CALL)
    assert first.get_config(6)
    server.stop()
