"""How many further losses a group of stores bears, as it says itself."""

import asyncio

import pytest

from cactusledge.records import group_manager
from cactusledge.records.entries import Member, Turn
from cactusledge.records.losses import losses_borne
from cactusledge.records.membership import first_group
from tests.records_support import cluster_of, wait_until

NAMES = ('a', 'b', 'c', 'd', 'e')
COPIES = 2


def group_of(size, copies=COPIES):
    members = {name: Member('10.0.0.1:1', name) for name in NAMES[:size]}
    return first_group(members, copies)


def borne(size, witnesses, *, copies=COPIES, has_all_copies=True):
    """Returns the losses that a group bears whose other members are lost."""
    unreachable = NAMES[witnesses:size]
    return losses_borne(
        group_of(size, copies),
        NAMES[:witnesses],
        unreachable,
        has_all_copies=has_all_copies,
    )


def test_whole_group_bears_the_losses_that_its_copies_allow():
    assert [borne(size, size) for size in (3, 4, 5)] == [1, 1, 1]
    assert borne(5, 5, copies=3) == 2


def test_lost_member_may_hold_the_second_copy():
    assert [borne(size, size - 1) for size in (3, 4, 5)] == [0, 0, 0]
    assert borne(5, 4, copies=3) == 1


def test_missing_copy_counts_as_a_lost_one():
    assert borne(5, 5, has_all_copies=False) == 0
    assert borne(5, 5, copies=3, has_all_copies=False) == 1


def test_group_without_a_quorum_bears_no_loss():
    assert borne(5, 2, copies=5) == 0


# A group said nothing of the losses that it bore: whether the next store may
# be taken away could only be worked out from the logs of all stores.
@pytest.mark.process
def test_store_says_when_its_group_bears_a_loss_again(
    tmp_path, store, monkeypatch
):
    monkeypatch.setattr(group_manager, 'FORMATION_DELAY_S', 0.5)
    monkeypatch.setattr('cactusledge.records.membership.DEAD_AFTER_S', 0.5)

    def all_bear(cluster, losses):
        monitors = [
            node.group_manager.losses for node in cluster.nodes.values()
        ]
        return all(
            monitor.condition and monitor.condition.losses_borne == losses
            for monitor in monitors
        )

    async def main():
        async with cluster_of(3, tmp_path, store) as cluster:
            turn = Turn('t', '', 'p', b'in', b'out', 10, 'engine-1', ())
            assert await cluster.client.record(turn)
            await wait_until(lambda: all_bear(cluster, 1))
            await cluster.nodes.pop('store-0').kill()
            await wait_until(lambda: all_bear(cluster, 0))
            await asyncio.sleep(1)
            assert all_bear(cluster, 0)
            await cluster.add('store-9')
            await wait_until(lambda: all_bear(cluster, 1))
            for node in cluster.nodes.values():
                assert 'store-0' not in node.store.group.members

    asyncio.run(main())
