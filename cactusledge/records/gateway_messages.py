"""Messages by which gateways learn of each other and relay."""

from cactusledge.records.entries import Member, Message


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


class LoadSums(Message, frozen=True):
    """The sums over the other gateways heard of lately."""

    in_flight: dict[str, int]


class AskReach(Message, frozen=True):
    """Asks a gateway which stores it can reach."""


class Reach(Message, frozen=True):
    """The stores that a gateway is connected to."""

    names: list[str]


class Relay(Message, frozen=True):
    """Asks a gateway to pass a request on to a store."""

    target: str
    request: bytes  # an encoded envelope


class Relayed(Message, frozen=True):
    """The store's reply."""

    reply: bytes  # an encoded envelope
