"""A gateway that is stopped, as a process, with callers that keep coming."""

import asyncio
import signal

import pytest

from cactusledge.gateway.app import GatewayApplication
from cactusledge.gateway.draining import LAST_WORK_S
from cactusledge.gateway.stopping import READINESS_PROPAGATION_S
from cactusledge.models import Address
from standins.ports import free_port
from tests.gateway_endpoints import field, request_id
from tests.gateway_process import (
    TimedEndpoint,
    TimedStreams,
    ask_on,
    gateway_process,
    gateway_processes,
)
from tests.gateway_program import parts_of

pytestmark = pytest.mark.process

GRACE_S = 4.5
ROUTES = {'/brief/': 1.5, '/long/': 9.0, '/stream/': 9.0}
SLACK_S = 1.0  # for a busy machine
IDLE_STOP_S = READINESS_PROPAGATION_S + LAST_WORK_S + SLACK_S


# A request that the grace period had no time for was taken, and then cut.
def test_request_that_cannot_end_in_the_grace_period_is_refused():
    async def main():
        async with gateway_process(GRACE_S, ROUTES) as gateway:
            await gateway.start()
            gateway.send_signal()
            await gateway.until(2.2)
            brief = asyncio.ensure_future(gateway.ask('/brief/x', 1.2))
            await gateway.until(3.0)
            refused = await gateway.ask('/long/x', 3, 'r2')
            return refused, await brief, await gateway.ended()

    refused, brief, (status, took_s, _) = asyncio.run(main())
    assert refused[0] == 503
    assert 0 < float(field(refused[1], 'retry-after')) < 1
    assert field(refused[1], 'connection') == 'close'
    assert brief[::2] == (200, b'done')
    assert status == 0
    assert took_s < GRACE_S


# Late in the grace period a request of a usually quick route was passed on,
# took longer than usual, and was cut.
@pytest.mark.parametrize(
    ('path', 'endpoint_type'),
    [('/long/x', TimedEndpoint), ('/stream/x', TimedStreams)],
)
def test_late_request_that_takes_longer_than_usual_is_not_cut(
    path, endpoint_type
):
    endpoint = endpoint_type()

    async def main():
        async with gateway_process(GRACE_S, ROUTES, endpoint) as gateway:
            await gateway.start()
            quick = [await gateway.see(path, 0.05) for _ in range(3)]
            gateway.send_signal()
            early = await gateway.see(path, 0.05)
            await gateway.until(READINESS_PROPAGATION_S - 0.5)
            waiting = asyncio.ensure_future(gateway.see('/brief/x', 1.2))
            await gateway.until(READINESS_PROPAGATION_S + 0.2)
            late = await gateway.see(path, 3, 'late')
            seen = [*quick, early, await waiting]
            return seen, late, await gateway.ended()

    seen, late, (status, took_s, lines) = asyncio.run(main())
    assert late.end == 'complete'
    assert all(one.end == 'complete' and one.body for one in seen)
    assert len(endpoint.requests) == len(seen)
    ends = [line for line in lines if line['event'].endswith('request ended')]
    assert [one['status'] for one in ends].count(503) == 1
    assert 'cut by the stop' not in {one['reason'] for one in ends}
    assert status == 0
    assert took_s < GRACE_S


# A second signal, or a reload, began the grace period anew or ended it early.
def test_second_signal_and_reload_change_nothing():
    async def main():
        async with gateway_process(GRACE_S, ROUTES) as gateway:
            await gateway.start()
            gateway.send_signal(signal.SIGHUP)
            gateway.signalled_s = 0
            gateway.send_signal()
            await gateway.until(0.5)
            gateway.send_signal(signal.SIGHUP)
            gateway.send_signal()
            answer = await gateway.ask('/brief/x', 1)
            return answer[0], await gateway.ended()

    answer, (status, took_s, lines) = asyncio.run(main())
    assert (answer, status) == (200, 0)
    assert READINESS_PROPAGATION_S <= took_s < IDLE_STOP_S
    assert [line['state'] for line in lines if 'state' in line] == [
        'announcing',
        'closing',
        'ended',
    ]


# A gateway that was stopped as it started left its callers without an answer.
def test_signal_just_after_the_start():
    async def main():
        async with gateway_process(GRACE_S, ROUTES) as gateway:
            await gateway.start()
            gateway.send_signal()
            await gateway.until(1)
            answer = await gateway.ask('/brief/x', 0.2)
            return answer[0], await gateway.ended()

    answer, (status, took_s, _) = asyncio.run(main())
    assert (answer, status) == (200, 0)
    assert took_s < IDLE_STOP_S


# A gateway opened its port for callers after SIGTERM.
def test_signal_before_the_ports_are_open_opens_none():
    callers = free_port()

    async def main():
        app = GatewayApplication(
            parts_of({
                'callers': callers,
                'readiness': free_port(),
                'peers': free_port(),
                'grace_s': GRACE_S,
            })
        )
        app.request_stop()
        async with asyncio.timeout(2):
            await app.run()
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(*Address('127.0.0.1', callers))

    asyncio.run(main())


# A paused process took the whole grace period for its own once it woke.
def test_pause_counts_from_the_signal():
    async def main():
        async with gateway_process(GRACE_S, ROUTES) as gateway:
            await gateway.start()
            gateway.process.send_signal(signal.SIGSTOP)
            gateway.send_signal()
            caller = await gateway.connect()
            await caller.send('/brief/x', 'X-Takes-S: 1')
            await gateway.until(3.2)
            gateway.process.send_signal(signal.SIGCONT)
            answer = await caller.read()
            return answer[0], await gateway.ended()

    answer, (status, took_s, lines) = asyncio.run(main())
    assert (answer, status) == (503, 0)
    assert took_s < 3.2 + LAST_WORK_S + SLACK_S
    ends = [line for line in lines if line['event'].endswith('request ended')]
    assert round(ends[0]['stopping_s']) == 3


class Caller:
    """Uses kept connections and opens new ones until no gateway is left."""

    def __init__(self, name, gateways):
        self.name = name
        self.answers = {}  # by request id; 0 is a connection that closed
        self._gateways = gateways

    async def run(self):
        """Sends requests one after another; returns their answers."""
        count = 0
        while self._gateways:
            gateway = self._gateways[count % len(self._gateways)]
            count += 1
            try:
                caller = await gateway.connect()
            except ConnectionError:
                self._gateways = [
                    one for one in self._gateways if one is not gateway
                ]
                continue
            await self._use(caller, count)
        return self.answers

    async def _use(self, caller, count):
        """Sends requests until the connection closes."""
        for number in range(4):
            caller.request_id = f'{self.name}-{count}-{number}'
            path = '/brief/x' if number % 2 else '/long/x'
            try:
                status, head, _ = await ask_on(caller, path, 0.3)
            except (ConnectionError, asyncio.IncompleteReadError):
                status, head = 0, []
            self.answers[caller.request_id] = status
            if status != 200 or field(head, 'connection') == 'close':
                break
        caller.writer.close()
        await asyncio.sleep(0.01)


# A request reached an endpoint, and its caller got no answer.
def test_callers_that_go_on_until_several_gateways_are_gone_lose_nothing():
    async def main():
        async with gateway_processes(3, GRACE_S, ROUTES) as gateways:
            for one in gateways:
                await one.start()
            callers = [
                asyncio.ensure_future(Caller(f'c{number}', gateways).run())
                for number in range(12)
            ]
            await asyncio.sleep(0.5)
            for running in gateways:
                running.send_signal()
            ends = [await ended.ended() for ended in gateways]
            answers = {}
            for found in await asyncio.gather(*callers):
                answers |= found
            requests = gateways[0].endpoint.requests
            reached = {request_id(head) for head, _ in requests}
            return ends, answers, reached

    ends, answers, reached = asyncio.run(main())
    lost = [one for one, status in answers.items() if status == 0]
    assert not reached & set(lost)
    assert len(reached) > 100
    assert set(answers.values()) <= {200, 503, 0}
    for status, took_s, lines in ends:
        assert status == 0
        assert took_s < GRACE_S
        reasons = {line.get('reason') for line in lines}
        assert 'cut by the stop' not in reasons
