"""Orders to engines that ignore fencing numbers."""

import pytest

from cactusledge.endpoints.errors import (
    EndpointFailedError,
    EndpointNotRunError,
)
from cactusledge.endpoints.order_client import Order
from cactusledge.endpoints.order_runner import run_order
from cactusledge.endpoints.order_states import OrderLimits, Phase
from cactusledge.endpoints.reports import EngineState
from cactusledge.errors import StoreUnavailableError

LIMITS = OrderLimits(send_window_s=5, longest_order_s=60, max_attempts=2)
WANTED = Order(4, 'm-2')
OLD = EngineState('m-1', '', '', 'serve', 0, 'a', leaving=False)
NEW = OLD._replace(model='m-2')
SILENT = EndpointFailedError('Silent.', remedy='Wait.')
REFUSED = EndpointNotRunError('Leaving.', remedy='Go elsewhere.')
DOWN = StoreUnavailableError('Down.', remedy='Wait.')


class ScriptedPort:
    """Returns scripted answers in turn and records the actions."""

    def __init__(self, script):
        self.script = list(script)
        self.actions = []
        self.time_s = 0

    def now_s(self):
        """Returns the scripted time."""
        return self.time_s

    def wait(self, duration_s):
        """Records the wait."""
        self.actions.append(('wait', duration_s))

    def read_state(self):
        """Returns the scripted state."""
        return self._next('read')

    def is_owner(self):
        """Returns the scripted ownership."""
        return self._next('owner')

    def send(self, order, limit_s):
        """Records the order."""
        assert (order, limit_s) == (WANTED, LIMITS.longest_order_s)
        self._next('send')

    def _next(self, action):
        self.actions.append(action)
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, tuple) and answer[0] == 'late':
            self.time_s += answer[1]
            return True
        return answer


WAIT = ('wait', 65)
ATTEMPT = (WAIT, 'read', 'owner', 'send')


@pytest.mark.parametrize(
    ('script', 'phase', 'actions'),
    [
        ((NEW,), Phase.DONE, (WAIT, 'read')),
        ((OLD, True, None, NEW), Phase.DONE, (*ATTEMPT, 'read')),
        ((OLD, False), Phase.SUPERSEDED, (WAIT, 'read', 'owner')),
        # An order of the previous owner took effect late: wait and resend.
        (
            (OLD, True, None, OLD, OLD, True, None, NEW),
            Phase.DONE,
            (*ATTEMPT, 'read', *ATTEMPT, 'read'),
        ),
        # The answer is lost, but the order took effect.
        ((OLD, True, SILENT, NEW), Phase.DONE, (*ATTEMPT, WAIT, 'read')),
        ((OLD, True, REFUSED, NEW), Phase.DONE, (*ATTEMPT, WAIT, 'read')),
        # The ownership check took longer than the send window.
        (
            (OLD, ('late', 6), OLD, False),
            Phase.SUPERSEDED,
            (WAIT, 'read', 'owner', WAIT, 'read', 'owner'),
        ),
        ((SILENT, SILENT), Phase.GIVEN_UP, (WAIT, 'read') * 2),
        (
            (OLD, DOWN, OLD, DOWN),
            Phase.GIVEN_UP,
            (WAIT, 'read', 'owner') * 2,
        ),
        (
            (OLD, True, None, OLD, OLD, True, None, OLD),
            Phase.GIVEN_UP,
            (*ATTEMPT, 'read', *ATTEMPT, 'read'),
        ),
    ],
)
def test_run_order(script, phase, actions):
    port = ScriptedPort(script)
    assert run_order(port, WANTED, LIMITS).phase is phase
    assert tuple(port.actions) == actions
    assert not port.script
