"""Messages between gateways and record stores."""

import msgspec

from cactusledge.records import gateway_messages as gateways
from cactusledge.records.entries import (
    Entry,
    Group,
    Message,
    Reserved,
    Turn,
)


class Reserve(Message, frozen=True):
    """Asks to set tokens aside and to tell what the program has spent."""

    generation: int
    entry: Reserved
    parent_id: str


class ReserveReply(Message, frozen=True):
    """What one store knows of a program, after the reservation is on disk."""

    is_witness: bool  # whether what it does not know does not exist
    spent: dict[str, tuple[int, bool]]  # turn -> (tokens, settled)
    knows_parent: bool
    chain: list[Turn]  # oldest first, as far back as it is known
    log_id: str = ''  # of the disk that holds the reservation
    # Store -> its present log, of those that lost a disk of late.
    replaced: dict[str, str] = msgspec.field(default_factory=dict)


class Append(Message, frozen=True):
    """Asks to write entries to disk."""

    generation: int
    entries: list[Entry]


class Appended(Message, frozen=True):
    """The entries are on disk."""

    log_id: str = ''  # of the disk that holds them
    # Store -> its present log, of those that lost a disk of late.
    replaced: dict[str, str] = msgspec.field(default_factory=dict)


class Query(Message, frozen=True):
    """Asks for what a program has spent, and for a chain."""

    generation: int
    program_id: str
    parent_id: str
    wants_chain: bool


class Fetch(Message, frozen=True):
    """Asks for turns with their text."""

    generation: int
    turn_ids: list[str]


class Fetched(Message, frozen=True):
    """The turns asked for whose text is here."""

    turns: list[Turn]


class Pull(Message, frozen=True):
    """Asks for a part of the log, to catch up; turns come without text."""

    generation: int
    log_id: str  # of the log that is read, '' at the first request
    position: int
    reader: str = ''  # the store that catches up
    reader_log_id: str = ''  # of its own disk


class Pulled(Message, frozen=True):
    """A part of the log."""

    log_id: str
    entries: list[Entry]
    head: int  # length of the log
    is_witness: bool


class StaleGroup(Message, frozen=True):
    """The sender's group is not the current one; nothing was done."""

    group: Group


class Ask(Message, frozen=True):
    """Asks for what an instance believes; `generation` is the sender's."""

    generation: int


class Status(Message, frozen=True):
    """What an instance believes, for one that cannot ask the platform."""

    name: str
    group: Group
    is_witness: bool
    log_id: str
    durable_generation: int = 0  # of the group on its disk


class Ping(Message, frozen=True):
    """Asks whether the other side is alive."""


class Pong(Message, frozen=True):
    """The answer to a ping."""


class Announce(Message, frozen=True):
    """Tells a changed group to those that it concerns."""

    group: Group


class Failed(Message, frozen=True):
    """The request could not be carried out."""

    reason: str


Request = (
    Reserve
    | Append
    | Query
    | Fetch
    | Pull
    | Ask
    | Announce
    | gateways.Hello
    | gateways.LoadReport
    | gateways.ShareLoads
    | gateways.AskReach
    | gateways.AskBeliefs
    | gateways.Relay
    | Ping
)
Reply = (
    ReserveReply
    | Appended
    | Fetched
    | Pulled
    | StaleGroup
    | Status
    | gateways.Neighbours
    | gateways.LoadSums
    | gateways.ReadNews
    | gateways.Reach
    | gateways.Beliefs
    | gateways.Relayed
    | Pong
    | Failed
)
Body = Request | Reply


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame: the reply carries the number of its request."""

    number: int
    body: Body


ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
