"""Sums the loads of a service's endpoints by data centre."""

from collections.abc import Sequence
from typing import NamedTuple

from cactusledge.gateway.cross_shares import Room
from cactusledge.gateway.departures import Departures
from cactusledge.gateway.loads import EndpointLoad, Loads
from cactusledge.gateway.messages import Replica
from cactusledge.gateway.partitions import Partitions
from cactusledge.gateway.placement import median_latency_ms
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
        replica
        for replica in seen.replicas.usable(service, now_s)
        if replica.data_centre not in seen.partitions.unreachable
        and not seen.departures.is_leaving(replica)
        and seen.loads.of(replica.endpoint_id).ejected_until_s <= now_s
    ]
    latency_ms = median_latency_ms(staying, seen.loads)
    rooms = {seen.data_centre: Room(0, 0)}
    for replica in staying:
        load = seen.loads.of(replica.endpoint_id)
        room = rooms.get(replica.data_centre, Room(0, 0))
        rooms[replica.data_centre] = Room(
            room.in_flight + load.total,
            room.slots + replica.slots * speed_of(load, latency_ms, now_s),
        )
    return ServiceRooms(rooms, latency_ms)


def speed_of(load: EndpointLoad, usual_ms: float, now_s: float) -> float:
    """Returns an endpoint's speed, 1 within the normal range of latencies."""
    if usual_ms <= 0:
        return 1
    return usual_ms / (usual_ms + load.excess_latency_ms(usual_ms, now_s))


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
