"""How a starting gateway finds the stores.

A restart of one gateway after the other should not cost a call to the platform
each, while a restart of all instances must not wait for stores that start too.
"""

import asyncio
from types import SimpleNamespace

import pytest

from cactusledge.models import Address
from cactusledge.records import group_finder
from cactusledge.records.entries import EMPTY_GROUP, Member
from cactusledge.records.group_objects import PublishedTable
from cactusledge.records.messages import Status
from cactusledge.records.shards import form_table

MEMBERS = {
    f's{index:02d}': Member(f'h:{index}', f'dc-{index % 3}')
    for index in range(12)
}
TABLE = form_table(MEMBERS, 3)
SEEDS = (Address('h', 1), Address('h', 2))


class FakeClient:
    """A record client that reaches no store."""

    has_all_quorums = False

    def __init__(self):
        self.adopted = set()
        self.peers = SimpleNamespace(connected=tuple)

    @property
    def knows_all_groups(self):
        return len(self.adopted) == len(TABLE.groups)

    def adopt_group(self, group):
        if group.generation:
            self.adopted.add(group.shard)


class FakeObjects:
    """The platform's copy of the groups; counts the calls."""

    def __init__(self):
        self.reads = 0

    async def read(self):
        self.reads += 1
        return PublishedTable(TABLE, '1')


def status_of(group, groups=TABLE.groups):
    return Status('s00', group, True, 'log', groups=list(groups))


@pytest.fixture
def find(monkeypatch):
    """Runs a finder whose seeds give an answer; returns client and objects."""

    def run(answer, rounds=1):
        async def call(address, body, timeout_s):
            if answer is None:
                raise ConnectionError
            return answer

        async def search():
            for _ in range(rounds):
                await finder.run()

        monkeypatch.setattr(group_finder, 'call_once', call)
        client, objects = FakeClient(), FakeObjects()
        finder = group_finder.GroupFinder(client, SEEDS, objects)
        asyncio.run(search())
        return client, objects

    return run


def test_seed_tells_of_all_shards_without_the_platform(find):
    client, objects = find(status_of(TABLE.group(1)), rounds=3)
    assert client.adopted == {0, 1}
    assert not objects.reads


@pytest.mark.parametrize(
    'answer',
    [
        None,
        status_of(EMPTY_GROUP, ()),
        status_of(TABLE.group(1), TABLE.groups[1:]),
    ],
)
def test_platform_is_read_at_once_if_no_seed_knows_all_groups(find, answer):
    client, objects = find(answer, rounds=3)
    assert client.adopted == {0, 1}
    assert objects.reads == 1


def test_platform_is_read_if_the_groups_of_the_seeds_stay_unreachable(
    find, monkeypatch
):
    monkeypatch.setattr(group_finder, 'PLATFORM_READ_INTERVAL_S', 0)
    _, objects = find(status_of(TABLE.group(1)), rounds=2)
    assert objects.reads == 2
