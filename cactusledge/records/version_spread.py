"""A store's view of the versions of the configuration at gateways; pure.

Gateways name their version with their loads. What a store hears from another
store is not passed on to a third, so that a gateway that is gone is forgotten
once its last report has expired.
"""

import heapq
from collections.abc import Iterable, Mapping
from itertools import chain
from typing import NamedTuple

from cactusledge.records.gateway_messages import KnownVersion

REPORT_TTL_S = 1.5  # since a version was last reported
MAX_HOLDERS = 3  # gateways named at a time


class _Reported(NamedTuple):
    """A reported version and when it was received."""

    known: KnownVersion
    at_s: float


class VersionSpread:
    """The versions that gateways have, by reporting gateway or store."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._by_gateway: dict[str, _Reported] = {}
        self._by_store: dict[str, _Reported] = {}

    def report(self, gateway: str, known: KnownVersion, now_s: float) -> None:
        """Takes note of the version that a gateway has."""
        self._by_gateway = recent(self._by_gateway, now_s)
        self._by_gateway[gateway] = _Reported(known, now_s)

    def share(self, store: str, known: KnownVersion, now_s: float) -> None:
        """Takes note of the newest version at another store's gateways."""
        self._by_store = recent(self._by_store, now_s)
        self._by_store[store] = _Reported(known, now_s)

    def local(self, now_s: float) -> KnownVersion:
        """Returns the newest version at the gateways that report here."""
        return newest(self._by_gateway.values(), now_s)

    def newest(self, now_s: float) -> KnownVersion:
        """Returns the newest version at any gateway."""
        both = chain(self._by_gateway.values(), self._by_store.values())
        return newest(both, now_s)


def recent(
    reports: Mapping[str, _Reported], now_s: float
) -> dict[str, _Reported]:
    """Returns the reports that have not expired."""
    return {
        name: reported
        for name, reported in reports.items()
        if now_s - reported.at_s < REPORT_TTL_S
    }


def newest(reports: Iterable[_Reported], now_s: float) -> KnownVersion:
    """Returns the newest version, held by those that reported it last."""
    counted = [
        reported for reported in reports if now_s - reported.at_s < REPORT_TTL_S
    ]
    version = max((reported.known.version for reported in counted), default=0)
    having = (
        reported for reported in counted if reported.known.version == version
    )
    latest = heapq.nlargest(
        MAX_HOLDERS, having, key=lambda reported: reported.at_s
    )
    holders = chain.from_iterable(reported.known.holders for reported in latest)
    distinct = tuple(dict.fromkeys(holders))
    return (
        KnownVersion(version, distinct[:MAX_HOLDERS])
        if version
        else KnownVersion()
    )
