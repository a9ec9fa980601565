"""Creates the components through which a gateway reaches endpoints."""

from cactusledge.gateway.answer_notes import AnswerNotes
from cactusledge.gateway.context import Fleet
from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.departures import DEFAULT_WINDOW_S, Departures
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.limit_reports import LimitReports
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.pool import ConnectionPool
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.records.known_limits import KnownLimits
from cactusledge.telemetry.metrics import Metrics


def new_fleet(
    dialect: Dialect,
    data_centre: str,
    drain_s: float = DEFAULT_WINDOW_S,
) -> Fleet:
    """Returns a fleet without endpoints.

    `drain_s` is how long an endpoint still serves once it is leaving.
    """
    metrics = Metrics()
    departures = Departures(drain_s)
    limits = KnownLimits()
    notes = AnswerNotes(
        DepartureReports(departures, metrics),
        LimitReports(limits, metrics),
    )
    return Fleet(
        ReplicaList(),
        Loads(),
        ConnectionPool(dialect, notes.note),
        dialect,
        data_centre,
        Partitions(),
        metrics,
        departures,
        limits,
    )
