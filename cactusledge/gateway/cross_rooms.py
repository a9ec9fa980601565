"""Sums the loads of a service's endpoints by data centre."""

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from cactusledge.gateway.cross_shares import Room
from cactusledge.gateway.departures import Departures
from cactusledge.gateway.loads import EndpointLoad, Loads
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.replicas import ReplicaList


class Surroundings(NamedTuple):
    """What a gateway knows of all endpoints, and where it is itself."""

    data_centre: str
    replicas: ReplicaList
    loads: Loads
    departures: Departures
    partitions: Partitions


class ServiceRooms(NamedTuple):
    """The data centres' room for a service, and its usual latency."""

    by_data_centre: dict[str, Room]
    latency_ms: float  # median of the endpoints, per unit of work


def rooms_of(seen: Surroundings, service: str, now_s: float) -> ServiceRooms:
    """Returns the room in each data centre that can be reached.

    Endpoints that are leaving or ejected give no room. The gateway's own data
    centre is always included.
    """
    staying = [
        (replica, load)
        for replica, load in _reachable(seen, service, now_s)
        if load.ejected_until_s <= now_s
        and not seen.departures.is_leaving(replica)
    ]
    usual_ms = _median([load.latency_ms for _, load in staying])
    in_flight: defaultdict[str, int] = defaultdict(int)
    slots: defaultdict[str, float] = defaultdict(float)
    for replica, load in staying:
        in_flight[replica.data_centre] += load.total
        speed = speed_of(load, usual_ms, now_s)
        slots[replica.data_centre] += replica.slots * speed
    names = {seen.data_centre, *slots}
    rooms = {name: Room(in_flight[name], slots[name]) for name in names}
    return ServiceRooms(rooms, usual_ms)


def speed_of(load: EndpointLoad, usual_ms: float, now_s: float) -> float:
    """Returns an endpoint's speed, 1 within the normal range of latencies."""
    if load.latency_ms <= usual_ms or not usual_ms:
        return 1
    return usual_ms / (usual_ms + load.excess_latency_ms(usual_ms, now_s))


def _reachable(
    seen: Surroundings, service: str, now_s: float
) -> list[tuple[Replica, EndpointLoad]]:
    unreachable = seen.partitions.unreachable
    return [
        (replica, seen.loads.of(replica.endpoint_id))
        for replica in seen.replicas.usable(service, now_s)
        if replica.data_centre not in unreachable
    ]


def _median(latencies: list[float]) -> float:
    """Returns a median, 0 of nothing; of two in the middle the lower one."""
    return sorted(latencies)[(len(latencies) - 1) // 2] if latencies else 0


def in_data_centre(
    candidates: Sequence[Replica], data_centre: str, kept_id: str
) -> list[Replica]:
    """Returns the candidates there, and one that is kept wherever it is.

    All if none is there.
    """
    there = [one for one in candidates if one.data_centre == data_centre]
    if not there:
        return list(candidates)
    kept = [
        one
        for one in candidates
        if one.endpoint_id == kept_id and one.data_centre != data_centre
    ]
    return there + kept
