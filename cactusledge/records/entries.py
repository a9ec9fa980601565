"""Entries of the log, and the group of stores that holds them."""

import msgspec
import xxhash

# Of entries without a retention period of their own: those of older builds,
# and of routes that keep no turns. It exceeds any program's duration.
RETENTION_S = 600.0
LONGEST_ID = 64  # characters, of one that is told as it is


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages and entries; the tag is the class name."""


class Turn(Message, frozen=True):
    """A turn that was answered in full. Immutable; settles its reservation.

    All stores keep the turn's entry; its holders also keep its text, that is
    the request and the response.
    """

    turn_id: str
    parent_id: str  # the turn continued, '' at the start of a chain
    program_id: str
    request: bytes  # input of this turn only, compressed; b'' without text
    response: bytes  # data of each event plus a line feed, compressed
    tokens: int  # tokens delivered to the caller
    endpoint_id: str  # the engine that holds the chain in its cache
    holders: tuple[str, ...]  # instances assigned to keep the text
    account: str = ''  # name of the caller's account; '': open to all
    retention_s: float = RETENTION_S  # how long it may be continued
    has_budget: bool = True  # whether its tokens count towards a budget

    @property
    def has_text(self) -> bool:
        """Whether this entry includes the request and the response."""
        return bool(self.request)

    def without_text(self) -> 'Turn':
        """Returns the turn as stores other than its holders keep it."""
        return msgspec.structs.replace(self, request=b'', response=b'')


class Reserved(Message, frozen=True):
    """Tokens reserved for a turn before it is sent to an engine."""

    program_id: str
    turn_id: str
    tokens: int
    retention_s: float = RETENTION_S  # how long the program may be idle


class Settled(Message, frozen=True):
    """Tokens delivered by a turn that was not answered in full."""

    program_id: str
    turn_id: str
    tokens: int
    retention_s: float = RETENTION_S  # how long the program may be idle


Entry = Turn | Reserved | Settled


class Member(Message, frozen=True):
    """Address and data centre of an instance of the group."""

    address: str  # 'host:port'
    data_centre: str


class Group(Message, frozen=True):
    """The instances that hold the records of one shard.

    Consecutive generations differ in one member, so that a majority of one
    meets every majority of the next.

    Of an even number of members, half hold every record if each record is on a
    majority. That is so unless a member has left since the last one was added,
    and has not confirmed that its records are on a majority of the others.
    """

    generation: int
    members: dict[str, Member]  # by instance name
    target_size: int  # dead members are removed only above this size
    copies: int  # instances that keep each turn's text
    shard: int = 0
    shards: int = 1  # of the whole system
    survives_half: bool = False  # whether each record is on a majority


EMPTY_GROUP = Group(generation=0, members={}, target_size=0, copies=1)
ENCODER = msgspec.msgpack.Encoder()
ENTRY_DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)


def short_id(long_id: str) -> str:
    """Returns an id, or a digest if it is long.

    For lists in messages, which are bounded by the number of their ids.
    """
    if len(long_id) <= LONGEST_ID:
        return long_id
    return xxhash.xxh3_128_hexdigest(long_id.encode())
