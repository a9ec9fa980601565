"""Messages between gateways and record stores, and the entries of the log."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the tag is the name of the type."""


class Turn(Message, frozen=True):
    """A turn that was answered whole. Immutable; settles its reservation.

    All stores know that there is the turn, its holders keep the text too.
    """

    turn_id: str
    parent_id: str  # the turn that it continues, '' at the start of a chain
    program_id: str
    request: bytes  # the turn's own input, compressed; b'' without the text
    response: bytes  # data of each event and a line feed, compressed
    tokens: int  # tokens handed to the caller
    endpoint_id: str  # the engine that holds the chain in its cache
    holders: tuple[str, ...]  # instances that are to keep the text

    @property
    def has_text(self) -> bool:
        """Whether the request and the response are here."""
        return bool(self.request)

    def without_text(self) -> 'Turn':
        """Returns the turn as those that are no holders know it."""
        return msgspec.structs.replace(self, request=b'', response=b'')


class Reserved(Message, frozen=True):
    """Tokens set aside for a turn before it is sent to an engine."""

    program_id: str
    turn_id: str
    tokens: int


class Settled(Message, frozen=True):
    """Tokens that a turn which was not answered whole has handed out."""

    program_id: str
    turn_id: str
    tokens: int


Entry = Turn | Reserved | Settled


class Member(Message, frozen=True):
    """Where an instance of the group is."""

    address: str  # 'host:port'
    data_centre: str


class Group(Message, frozen=True):
    """The instances that hold the records.

    Consecutive generations differ in one member, so that a majority of one
    meets every majority of the next.
    """

    generation: int
    members: dict[str, Member]  # by the instance's name
    target_size: int  # size that dead members are removed down to
    copies: int  # instances that keep the text of a turn


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
    chain: list[Turn]  # oldest first, perhaps without text; [] if unknown


class Append(Message, frozen=True):
    """Asks to write entries to disk."""

    generation: int
    entries: list[Entry]


class Appended(Message, frozen=True):
    """The entries are on disk."""


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
    log_id: str  # '' at the first request
    position: int


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
    configuration: bytes  # document as the platform sent it, b'' if unknown
    endpoints: bytes  # document of the endpoints' list, b'' if unknown


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


Body = (
    Reserve
    | ReserveReply
    | Append
    | Appended
    | Query
    | Fetch
    | Fetched
    | Pull
    | Pulled
    | StaleGroup
    | Ask
    | Status
    | Announce
    | Ping
    | Pong
    | Failed
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One frame: the reply carries the number of its request."""

    number: int
    body: Body


ENCODER = msgspec.msgpack.Encoder()
ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
ENTRY_DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)

EMPTY_GROUP = Group(generation=0, members={}, target_size=0, copies=1)
