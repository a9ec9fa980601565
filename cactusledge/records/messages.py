"""Messages between gateways and record stores, and between stores."""

import msgspec

from cactusledge.records import gateway_messages as gateways
from cactusledge.records.entries import (
    Entry,
    Group,
    Message,
    Reserved,
    Turn,
)
from cactusledge.records.quota_messages import AskQuota
from cactusledge.records.room import Room


class Reserve(Message, frozen=True):
    """Reserves tokens; the reply includes what the program has spent."""

    generation: int
    entry: Reserved
    parent_id: str
    shard: int = 0  # of the group that has the generation


class ReserveReply(Message, frozen=True):
    """What one store knows of a program, once the reservation is on disk."""

    is_witness: bool  # whether its log is complete, see `Identity`
    spent: dict[str, tuple[int, bool]]  # turn -> (tokens, settled)
    knows_parent: bool
    chain: list[Turn]  # oldest first, as far back as known
    log_id: str = ''  # of the disk that holds the reservation
    # Store -> its current log id, for stores that recently lost a disk.
    replaced: dict[str, str] = msgspec.field(default_factory=dict)
    room: int = Room.FREE  # what the store has room for


class Append(Message, frozen=True):
    """Writes entries to disk."""

    generation: int
    entries: list[Entry]
    shard: int = 0


class Appended(Message, frozen=True):
    """The entries are on disk."""

    log_id: str = ''  # of the disk that holds them
    # Store -> its current log id, for stores that recently lost a disk.
    replaced: dict[str, str] = msgspec.field(default_factory=dict)
    room: int = Room.FREE  # what the store has room for


class Query(Message, frozen=True):
    """Requests what a program has spent, and optionally a chain."""

    generation: int
    program_id: str
    parent_id: str
    wants_chain: bool
    shard: int = 0


class Fetch(Message, frozen=True):
    """Requests turns with their text, and offers others.

    Offers are part of this message as a store of an older build ignores an
    unknown field, but closes the connection on an unknown message.
    """

    generation: int
    turn_ids: list[str]
    shard: int = 0
    # Turns whose text the sender has and the receiver should keep as well.
    offered: list[str] = msgspec.field(default_factory=list)


class Fetched(Message, frozen=True):
    """Those of the requested turns whose text this store has.

    The first ones that fit in a message; the others have to be asked for again.
    """

    turns: list[Turn]
    # Those of the offered turns whose text this store lacks; it has all the
    # others on its disk.
    lacking: list[str] = msgspec.field(default_factory=list)
    log_id: str = ''  # of that disk; '' from a store of an older build


class Pull(Message, frozen=True):
    """Requests a part of the log, to catch up; turns come without text."""

    generation: int
    log_id: str  # of the log being read, '' in the first request
    position: int
    reader: str = ''  # the store that catches up
    reader_log_id: str = ''  # of the reader's own disk
    shard: int = 0


class Pulled(Message, frozen=True):
    """A part of the log."""

    log_id: str
    entries: list[Entry]
    head: int  # position after its last entry
    is_witness: bool
    end: int = 0  # position after these entries, 0 from an older store
    epoch: str = ''  # of the positions, '' from an older store


class StaleGroup(Message, frozen=True):
    """Refuses a request, unexecuted: it is not for this store's group.

    The sender's group is outdated, or the store belongs to another shard.
    """

    group: Group


class Ask(Message, frozen=True):
    """Requests the status of a store; `generation` is the sender's."""

    generation: int


class Status(Message, frozen=True):
    """The state of a store and the group that it has adopted."""

    name: str
    group: Group
    is_witness: bool
    log_id: str
    durable_generation: int = 0  # of the group on its disk
    # The groups of all shards, as far as this store knows them.
    groups: list[Group] = msgspec.field(default_factory=list)
    # Generation that a majority is known to have on disk, of its own shard.
    established_generation: int = 0


class Ping(Message, frozen=True):
    """Checks that the peer is alive."""


class Pong(Message, frozen=True):
    """The reply to a ping."""


class Announce(Message, frozen=True):
    """Sends a changed group to its old and new members."""

    group: Group


class Failed(Message, frozen=True):
    """The request failed."""

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
    | gateways.AskGrant
    | gateways.AskReach
    | gateways.AskEndpoints
    | gateways.AskBeliefs
    | gateways.Relay
    | Ping
    | AskQuota
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
    | gateways.Granted
    | gateways.Reach
    | gateways.EndpointsInReach
    | gateways.Beliefs
    | gateways.Relayed
    | Pong
    | Failed
)
Body = Request | Reply


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The content of a frame; a reply has the number of its request."""

    number: int
    body: Body


ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
