"""Collects what instances report of themselves."""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from cactusledge.environment import Environment
from cactusledge.errors import CactusledgeError
from cactusledge.models import Address
from cactusledge.settings.rollout import (
    STATUS_KIND,
    Report,
    missing_report,
    parse_report,
    stale_report,
)

if TYPE_CHECKING:
    from cactusledge.platform.store import ObjectStore

LIVE_KIND = 'instances'
ENTRY_ROLE = 'entry'  # marks instances of ours in the live list
STATUS_PATH = '/status'
QUERY_TIMEOUT_S = 3.0


def platform_reports(
    store: 'ObjectStore', now: float, max_age_s: float
) -> list[Report]:
    """Returns the stored reports, and a missing one for each silent instance.

    A report that is too old proves nothing: its instance may have been
    replaced since.
    """
    reports = {
        found.name: parse_report(found.name, found.body)
        for found in store.list(STATUS_KIND).items
    }
    checked = [
        stale_report(report, now, max_age_s) for report in reports.values()
    ]
    live = _live_instances(store)
    if live:
        checked = [one for one in checked if one.instance in live]
    silent = live - reports.keys()
    return [
        *checked,
        *(missing_report(name, 'it has not reported') for name in silent),
    ]


def queried_reports(
    env: Environment, addresses: Sequence[Address]
) -> list[Report]:
    """Returns what each instance answers, and who gave no answer."""
    return [_query(env, address) for address in addresses]


def newest_generation(reports: Iterable[Report]) -> int:
    """Returns the highest generation that any instance reports."""
    return max((0, *(report.generation for report in reports)))


def _query(env: Environment, address: Address) -> Report:
    try:
        body = env.fetch_json(address, STATUS_PATH, QUERY_TIMEOUT_S)
    except CactusledgeError as exc:
        return missing_report(str(address), exc.message)
    return parse_report(str(address), body)


def _live_instances(store: 'ObjectStore') -> frozenset[str]:
    return frozenset(
        found.name
        for found in store.list(LIVE_KIND).items
        if found.body.get('role') == ENTRY_ROLE
        and not found.body.get('leaving')
    )
