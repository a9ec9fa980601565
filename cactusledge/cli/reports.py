"""Collects the reports of instances on their configuration generation."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol

from cactusledge.environment import Environment
from cactusledge.errors import CactusledgeError
from cactusledge.models import Address
from cactusledge.settings.published import read_head
from cactusledge.settings.rollout import (
    STATUS_KIND,
    Report,
    Rollout,
    assess_rollout,
    mark_if_stale,
    missing_report,
    parse_report,
)

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

INSTANCES_KIND = 'instances'
ENTRY_ROLE = 'entry'  # role of cactusledge instances in the live list
STATUS_PATH = '/status'
QUERY_TIMEOUT_S = 3.0


class ReportSource(Protocol):
    """A source of instance reports."""

    def rollout(self, generation: int | None) -> Rollout:
        """Returns which instances run a generation, the newest if None."""


class StoredReports:
    """Reads the reports that instances wrote to the platform."""

    def __init__(
        self,
        store: 'ObjectStore',
        now: Callable[[], float],
        max_age_s: float,
    ) -> None:
        """Sets the age above which a report counts as a problem.

        The instance of an older report may have been replaced since.
        """
        self._store = store
        self._now = now
        self._max_age_s = max_age_s

    def rollout(self, generation: int | None) -> Rollout:
        """Returns which instances run a generation.

        None stands for the published generation.
        """
        if generation is None:
            head = read_head(self._store).head
            generation = head.generation if head else 0
        return assess_rollout(generation, self._reports())

    def _reports(self) -> list[Report]:
        reports = {
            found.name: self._parse(found.name, found.body)
            for found in self._store.list(STATUS_KIND).items
        }
        live = self._live_instances()
        if not live:
            return list(reports.values())
        return [
            reports.get(name) or missing_report(name, 'it has not reported')
            for name in live
        ]

    def _parse(self, name: str, body: object) -> Report:
        report = parse_report(name, body)
        return mark_if_stale(report, self._now(), self._max_age_s)

    def _live_instances(self) -> frozenset[str]:
        return frozenset(
            found.name
            for found in self._store.list(INSTANCES_KIND).items
            if found.body.get('role') == ENTRY_ROLE
            and not found.body.get('leaving')
        )


class QueriedReports:
    """Queries the status API of the instances."""

    def __init__(self, env: Environment, addresses: Sequence[Address]) -> None:
        self._env = env
        self._addresses = addresses

    def rollout(self, generation: int | None) -> Rollout:
        """Returns which instances run a generation.

        None stands for the highest generation reported.
        """
        reports = [self._query(address) for address in self._addresses]
        if generation is None:
            generation = max((0, *(report.generation for report in reports)))
        return assess_rollout(generation, reports)

    def _query(self, address: Address) -> Report:
        try:
            document = self._env.fetch_json(
                address, STATUS_PATH, QUERY_TIMEOUT_S
            )
        except CactusledgeError as exc:
            return missing_report(str(address), exc.message)
        return parse_report(str(address), document)
