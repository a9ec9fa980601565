"""Endpoints that write an earlier refusal once more on a kept connection."""

import asyncio
from functools import partial

import pytest

from tests.gateway_endpoints import (
    Endpoint,
    answered,
    overloaded,
    request_id,
)
from tests.gateway_support import run_scenario

pytestmark = pytest.mark.process


def without_id(content):
    """Returns a response that does not say which request it answers."""
    return b''.join(
        line
        for line in content.splitlines(keepends=True)
        if b'Request-Id' not in line
    )


def unchanged(content):
    """Returns the same response."""
    return content


class RepeatingEndpoint(Endpoint):
    """Refuses the first request on each connection, and runs all others.

    Before the answer to the next one it writes the refusal once more.
    """

    def __init__(self, form, refusals=1):
        super().__init__(None)
        self.runs = []
        self._form = form
        self._left = refusals
        self._refused = {}  # the refusal by connection

    async def _answer_next(self, reader, writer):
        self.reply = partial(self._reply, writer)
        return await super()._answer_next(reader, writer)

    def _reply(self, writer, head):
        refusal = self._refused.pop(writer, b'')
        if not refusal and self._left:
            self._left -= 1
            self._refused[writer] = self._form(overloaded(head))
            return self._refused[writer]
        self.runs.append(request_id(head))
        return refusal + answered(head)


class LateEndpoint(Endpoint):
    """Runs all requests; writes a refusal before all answers but the first."""

    def __init__(self):
        super().__init__(self._reply)
        self.runs = []

    def _reply(self, head):
        is_first = not self.runs
        self.runs.append(request_id(head))
        refusal = b'' if is_first else without_id(overloaded(head))
        return refusal + answered(head)


# The same request came back on the connection that had refused it: the old
# refusal was taken for an answer to the new attempt, which ran.
@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
@pytest.mark.parametrize('refusals', [1, 3])
def test_refusal_of_an_earlier_attempt_does_not_answer_the_next(path, refusals):
    async def scenario(harness):
        caller = await harness.call(path)
        assert (await caller.read())[::2] == (200, b'done')

    endpoint = RepeatingEndpoint(unchanged, refusals)
    run_scenario(scenario, endpoint)
    assert endpoint.runs == ['r1']


# A refusal without an id was taken for one of the request that ran.
def test_refusal_without_an_id_on_a_used_connection_promises_nothing():
    async def scenario(harness):
        seen = []
        for number in (1, 2):
            caller = await harness.call('/once/x', request_id=f'r{number}')
            seen.append((await caller.read())[0])
            await asyncio.sleep(0)
        assert seen[0] == 200
        assert seen[1] in {200, 502}

    endpoint = LateEndpoint()
    run_scenario(scenario, endpoint)
    assert endpoint.runs == ['r1', 'r2']


# The first answer on a connection can only be to its first request.
def test_refusal_without_an_id_on_a_new_connection_counts():
    async def scenario(harness):
        caller = await harness.call('/once/x')
        assert (await caller.read())[::2] == (200, b'done')

    endpoint = RepeatingEndpoint(without_id)
    run_scenario(scenario, endpoint)
    assert endpoint.runs == ['r1']
