"""What is kept: the entries of the log, and the group that holds them."""

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


EMPTY_GROUP = Group(generation=0, members={}, target_size=0, copies=1)
ENCODER = msgspec.msgpack.Encoder()
ENTRY_DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
