"""The engine groups that this instance knows of."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from cactusledge.models import CallKind, Endpoint
from cactusledge.routing.client import DispatcherClient
from cactusledge.routing.group_selection import rendezvous_weight
from cactusledge.routing.grouping import split_groups
from cactusledge.routing.policy import (
    CACHE_FIRST,
    LATENCY_FIRST,
    GroupPolicy,
    PolicySettings,
)
from cactusledge.routing.types import EngineLimits, GroupKey
from cactusledge.settings.configuration import Configuration


class EngineSource(Protocol):
    """Where the known endpoints come from."""

    def all(self) -> tuple[Endpoint, ...]:
        """Returns every endpoint, with what is known of its leaving."""


class _Groups(NamedTuple):
    members: Mapping[GroupKey, list[Endpoint]]
    by_engine: Mapping[str, GroupKey]


class EngineGroups:
    """Splits the engines into groups; readable from any thread.

    Every instance splits them alike, since it depends on their names alone.
    """

    def __init__(self, group_size: int) -> None:
        """Starts without engines."""
        self._group_size = group_size
        self._groups = _Groups({}, {})

    def refresh(self, endpoints: EngineSource) -> None:
        """Splits the engines anew."""
        engines = [one for one in endpoints.all() if one.kind is CallKind.MODEL]
        members = split_groups(engines, self._group_size)
        by_engine = {
            one.name: key for key, group in members.items() for one in group
        }
        self._groups = _Groups(members, by_engine)

    def key_of(self, engine: str) -> GroupKey | None:
        """Returns the group of an engine."""
        return self._groups.by_engine.get(engine)

    def candidates(
        self,
        program_id: str,
        last_engine: str,
        engines: Sequence[Endpoint],
    ) -> list[GroupKey]:
        """Returns the groups of usable engines in the order to ask them.

        Args:
            program_id: Program that asks.
            last_engine: Engine of its latest call, '' for none; the group
                goes first, as it has the program's cache.
            engines: Usable engines, the nearest data centre's first.
        """
        found = [self.key_of(one.name) for one in engines]
        keys = list(dict.fromkeys(key for key in found if key))
        places = [key.data_centre for key in keys]
        cached_group = self.key_of(last_engine)
        return sorted(
            keys,
            key=lambda key: (
                key != cached_group,
                places.index(key.data_centre),
                -rendezvous_weight(str(key), program_id),
            ),
        )

    def configure_dispatcher(
        self, queues: DispatcherClient, config: Configuration
    ) -> None:
        """Tells the schedulers their engines, policy and account shares."""
        shares = {one.name: one.share for one in config.accounts.values()}
        for key, members in self._groups.members.items():
            policy = GroupPolicy(policy_of(key.model, config), shares)
            queues.set_engines(key, members, EngineLimits(), policy)


def policy_of(model: str, config: Configuration) -> PolicySettings:
    """Returns the policy for the programs that use a model.

    Their definitions weigh latency against wasted cache.
    """
    weights = [
        one.weights for one in config.programs.values() if model in one.models
    ]
    latency = sum(one.latency for one in weights)
    wasted_cache = sum(one.wasted_cache for one in weights)
    return CACHE_FIRST if wasted_cache > latency else LATENCY_FIRST
