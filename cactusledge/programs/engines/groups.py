"""Engine groups: their members, preference order and policies."""

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
    """Source of the known endpoints."""

    def all(self) -> tuple[Endpoint, ...]:
        """Returns all endpoints, including whether each is leaving."""


class _Groups(NamedTuple):
    members: Mapping[GroupKey, list[Endpoint]]
    by_engine: Mapping[str, GroupKey]


class EngineGroups:
    """Partitions engines into groups; safe to read from any thread.

    The result depends only on the engines' names, so all instances compute
    the same groups.
    """

    def __init__(self, group_size: int) -> None:
        """Creates an empty partition; `refresh` fills it."""
        self._group_size = group_size
        self._groups = _Groups({}, {})

    def refresh(self, endpoints: EngineSource) -> None:
        """Recomputes the groups from the current endpoints."""
        engines = [one for one in endpoints.all() if one.kind is CallKind.MODEL]
        members = split_groups(engines, self._group_size)
        by_engine = {
            one.name: key for key, group in members.items() for one in group
        }
        self._groups = _Groups(members, by_engine)

    def key_of(self, engine: str) -> GroupKey | None:
        """Returns the group of an engine, or None for an unknown engine."""
        return self._groups.by_engine.get(engine)

    def candidates(
        self,
        program_id: str,
        last_engine: str,
        engines: Sequence[Endpoint],
    ) -> list[GroupKey]:
        """Returns the groups of the usable engines in order of preference.

        Args:
            program_id: Program that makes the call.
            last_engine: Engine of its latest call, or '' if there is none.
                The group of this engine comes first because it holds the
                program's cache.
            engines: Usable engines, those of the nearest data centre first.
        """
        found = [self.key_of(one.name) for one in engines]
        keys = list(dict.fromkeys(key for key in found if key))
        data_centres = [key.data_centre for key in keys]
        cached_group = self.key_of(last_engine)
        return sorted(
            keys,
            key=lambda key: (
                key != cached_group,
                data_centres.index(key.data_centre),
                -rendezvous_weight(str(key), program_id),
            ),
        )

    def configure_dispatcher(
        self, queues: DispatcherClient, config: Configuration
    ) -> None:
        """Sets the engines, policy and account shares of each group."""
        shares = {one.name: one.share for one in config.accounts.values()}
        for key, members in self._groups.members.items():
            policy = GroupPolicy(policy_of(key.model, config), shares)
            queues.set_engines(key, members, EngineLimits(), policy)


def policy_of(model: str, config: Configuration) -> PolicySettings:
    """Returns the scheduling policy for a model.

    The definitions of the programs that use the model weight latency
    against wasted cache; equal sums select the latency policy.
    """
    weights = [
        one.weights for one in config.programs.values() if model in one.models
    ]
    latency = sum(one.latency for one in weights)
    wasted_cache = sum(one.wasted_cache for one in weights)
    return CACHE_FIRST if wasted_cache > latency else LATENCY_FIRST
