"""Chooses which other gateways a gateway is told of; pure."""

from collections.abc import Mapping

from cactusledge.records.entries import Member
from cactusledge.records.gateway_messages import Hello
from cactusledge.records.holders import rank

MAX_NEIGHBOURS = 8  # in the data centre of the gateway, and as many elsewhere


def choose_neighbours(
    hello: Hello, others: Mapping[str, Member]
) -> dict[str, Member]:
    """Returns the gateways that a gateway is told of.

    A few of its own data centre and a few of others, so that the replies do
    not grow with the fleet; each gateway is told of different ones.
    """
    ordered = sorted(others, key=lambda name: rank(hello.name, name))
    chosen: dict[str, Member] = {}
    for is_local in (True, False):
        found = [
            name
            for name in ordered
            if is_local
            == (others[name].data_centre == hello.gateway.data_centre)
        ]
        chosen.update((name, others[name]) for name in found[:MAX_NEIGHBOURS])
    return chosen
