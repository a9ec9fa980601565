"""Creates the components through which a gateway reaches endpoints."""

from typing import NamedTuple

from cactusledge.gateway import (
    cross_rooms,
    cross_traffic,
    quota_gate,
)
from cactusledge.gateway.answer_notes import AnswerNotes
from cactusledge.gateway.buffer_space import BufferSpace
from cactusledge.gateway.context import Fleet
from cactusledge.gateway.crash_reports import CrashReports
from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.departures import DEFAULT_WINDOW_S, Departures
from cactusledge.gateway.dialect import Dialect
from cactusledge.gateway.endpoint_ends import EndpointEnds
from cactusledge.gateway.endpoint_limits import EndpointLimits
from cactusledge.gateway.forwarding import Forwarder
from cactusledge.gateway.grants import GrantSource, NoGrants, NoQuotas
from cactusledge.gateway.limit_reports import LimitReports
from cactusledge.gateway.loads import Loads
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.pool import ConnectionPool
from cactusledge.gateway.reach import EndpointReach
from cactusledge.gateway.replicas import ReplicaList
from cactusledge.gateway.suspects import Suspects
from cactusledge.records.crash_evidence import CrashEvidence
from cactusledge.telemetry.metrics import Metrics


class Place(NamedTuple):
    """Where a gateway runs."""

    instance: str
    data_centre: str


def new_fleet(
    dialect: Dialect,
    place: Place,
    grants: GrantSource | None = None,
    drain_s: float = DEFAULT_WINDOW_S,
    cross_ms_per_mb: float | None = None,
    space: BufferSpace | None = None,
) -> Fleet:
    """Returns a fleet without endpoints.

    Args:
        dialect: Reads and writes the platform's headers.
        place: The gateway's name and data centre.
        grants: Grants requests that a limit or a quota may not allow.
        drain_s: How long an endpoint still serves once it is leaving.
        cross_ms_per_mb: What a megabyte between data centres is worth in time
            of a caller; None: requests leave only by cost.
        space: What all connections share.
    """
    metrics = Metrics()
    departures = Departures(drain_s)
    reach = EndpointReach()
    limits = EndpointLimits(place.instance)
    evidence = CrashEvidence()
    space = space or BufferSpace()
    seen = cross_rooms.Surroundings(
        place.data_centre, ReplicaList(), Loads(), departures, Partitions()
    )
    notes = AnswerNotes(
        DepartureReports(departures, metrics),
        LimitReports(limits, metrics),
    )
    return Fleet(
        seen.replicas,
        seen.loads,
        ConnectionPool(dialect, notes.note, reach, space),
        dialect,
        place.data_centre,
        seen.partitions,
        metrics,
        departures,
        limits,
        grants or NoGrants(),
        reach,
        Forwarder(dialect, reach, space),
        EndpointEnds(reach),
        evidence,
        Suspects(evidence),
        CrashReports(evidence, metrics),
        quota_gate.AccountQuotaGate(place.instance, grants, metrics)
        if grants
        else NoQuotas(),
        cross_traffic.new_traffic(seen, cross_ms_per_mb, metrics),
    )
