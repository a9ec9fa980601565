"""Messages by which gateways learn of each other and relay."""

from typing import NamedTuple

import msgspec

from cactusledge.records.entries import Member, Message


class ReadPart(NamedTuple):
    """A prompt part that an endpoint has read and may keep."""

    endpoint_id: str
    born_ms: int  # start of the endpoint's lifetime, Unix milliseconds
    part_id: str
    tokens: int


class Hello(Message, frozen=True):
    """Tells a store of a gateway, and asks for the other gateways."""

    name: str
    gateway: Member


class Neighbours(Message, frozen=True):
    """The gateways that a store has heard of lately."""

    gateways: dict[str, Member]


class LoadReport(Message, frozen=True):
    """Tells a store what a gateway has under way, and asks for the others'."""

    name: str
    in_flight: dict[str, int]  # requests by endpoint id
    # Shared prompt parts that endpoints have read for the first time.
    read: list[ReadPart] = msgspec.field(default_factory=list)
    epoch: str = ''  # of the store's last answer
    position: int = 0  # up to where that answer told of read parts


class LoadSums(Message, frozen=True):
    """The sums over the other gateways heard of lately, and news."""

    in_flight: dict[str, int]
    read: list[ReadPart] = msgspec.field(default_factory=list)
    epoch: str = ''
    position: int = 0


class ShareLoads(Message, frozen=True):
    """Tells a store what another store's gateways have under way."""

    name: str
    in_flight: dict[str, int]  # requests by endpoint id
    epoch: str  # of the asked store's last answer
    position: int  # up to where that answer told of read parts


class ReadNews(Message, frozen=True):
    """Prompt parts that endpoints have read, told after a position."""

    read: list[ReadPart]
    epoch: str
    position: int


class AskReach(Message, frozen=True):
    """Asks a gateway which stores it can reach."""


class Reach(Message, frozen=True):
    """The stores that a gateway is connected to."""

    names: list[str]


class AskBeliefs(Message, frozen=True):
    """Asks a gateway for its configuration and endpoints."""


class Beliefs(Message, frozen=True):
    """What a gateway believes; the gateways' own encoding."""

    content: bytes


class Relay(Message, frozen=True):
    """Asks a gateway to pass a request on to a store."""

    target: str
    request: bytes  # an encoded envelope


class Relayed(Message, frozen=True):
    """The store's reply."""

    reply: bytes  # an encoded envelope
