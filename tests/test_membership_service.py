"""Membership services that exchange heartbeats over TCP."""

import queue

import pytest

from cactusledge.models import Address
from cactusledge.peers.errors import NotRunningError
from cactusledge.peers.membership import Membership
from cactusledge.peers.messages import Heartbeat, MemberView
from cactusledge.peers.server import PeerServer
from standins.ports import free_port

HEARTBEAT_INTERVAL_S = 0.05
WAIT_S = 20


class Instance:
    """A membership service with its peer server."""

    def __init__(self, name, seeds, port=0, incarnation=1):
        self.address = Address('127.0.0.1', port or free_port())
        me = MemberView(name, *self.address, 'bole', incarnation)
        self.membership = Membership(me, seeds, HEARTBEAT_INTERVAL_S)
        self.server = PeerServer(self.address, self)
        self._changes = queue.SimpleQueue()
        self.membership.subscribe(self._changes.put)
        self.heartbeat = self.membership.handle_heartbeat

    def start(self):
        """Starts the membership service and the server."""
        self.membership.start()
        self.server.start()
        return self

    def stop(self):
        """Stops without marking itself as leaving, like a crash."""
        self.server.stop()
        self.membership.stop()

    def wait_for(self, condition):
        """Waits until the live members meet the condition."""
        while not condition(self.membership.live):
            self._changes.get(timeout=WAIT_S)
        return self.membership.live


def wait_for_all(instances, condition):
    return [one.wait_for(condition) for one in instances]


@pytest.fixture
def instances():
    first = Instance('e0', ())
    others = [Instance(f'e{number}', [first.address]) for number in (1, 2)]
    started = [one.start() for one in (first, *others)]
    wait_for_all(started, lambda live: len(live.available()) == 3)
    yield started
    for one in started:
        one.stop()


def test_all_agree_on_the_owner(instances):
    owners = {
        one.membership.owner_of('group', 'bole').name for one in instances
    }
    assert len(owners) == 1


def test_state_spreads(instances):
    instances[1].membership.set_state('generation', b'7')
    wait_for_all(
        instances,
        lambda live: any(one.state for one in live.members),
    )


def test_a_crash_and_a_return_are_detected(instances):
    first, second, gone = instances
    gone.stop()
    wait_for_all((first, second), lambda live: live.find('e2') is None)
    instances[2] = Instance('e2', (), gone.address.port, incarnation=2).start()
    wait_for_all(instances, lambda live: len(live.available()) == 3)
    assert first.membership.live.find('e2').incarnation == 2


def test_a_leaving_instance_is_not_available_for_work(instances):
    instances[2].membership.leave()
    wait_for_all(instances, lambda live: len(live.available()) == 2)
    lives = [one.membership.live for one in instances]
    assert all(live.find('e2').leaving for live in lives)


def test_a_membership_that_is_not_running_raises():
    stopped = Instance('e9', ())
    with pytest.raises(NotRunningError):
        stopped.heartbeat(Heartbeat('e0', ()))
    stopped.start()
    stopped.stop()
    with pytest.raises(NotRunningError):
        stopped.heartbeat(Heartbeat('e0', ()))
    stopped.membership.set_state('late', b'')


def test_a_reported_member_is_excluded_until_it_makes_progress(instances):
    first = instances[0]
    changes = queue.SimpleQueue()
    first.membership.subscribe(changes.put)
    first.membership.report_unreachable('e1')
    assert changes.get(timeout=WAIT_S).find('e1') is None
    first.wait_for(lambda live: live.find('e1') is not None)
