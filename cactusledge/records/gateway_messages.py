"""Messages for gateway discovery, load exchange and relayed requests."""

from typing import NamedTuple

import msgspec

from cactusledge.records.entries import Member, Message
from cactusledge.records.quota_messages import AccountUse
from cactusledge.records.withdrawal_messages import Withdrawal


class ReadPart(NamedTuple):
    """A prompt part that an endpoint has processed and may have cached."""

    endpoint_id: str
    born_ms: int  # start of the endpoint's lifetime, Unix milliseconds
    part_id: str
    tokens: int


class LeavingEndpoint(NamedTuple):
    """A lifetime of an endpoint that has said that it is leaving."""

    endpoint_id: str
    born_ms: int  # start of the endpoint's lifetime, Unix milliseconds


class NamedLimit(NamedTuple):
    """A rate limit that a lifetime of an endpoint has named in an answer."""

    endpoint_id: str
    born_ms: int  # start of the endpoint's lifetime, Unix milliseconds
    per_s: float  # requests a second, of all instances together
    age_s: float  # since it was seen
    is_ended: bool  # an answer did not name it any more


class RequestKeys(NamedTuple):
    """What identifies a request, in two ways.

    A turn that continues a recorded one carries only its new input, and its
    first form the shared context too: equal paths, different bodies.
    """

    exact: str  # digest of method, host, path with query, and body
    target: str  # the same without the body


class CrashedRun(NamedTuple):
    """A request that a lifetime of an endpoint ran when it ended."""

    endpoint_id: str
    born_ms: int  # start of the endpoint's lifetime, Unix milliseconds
    keys: RequestKeys
    age_s: float  # since the endpoint ended


class AnsweredKey(NamedTuple):
    """A request, by one of its keys, that an endpoint has answered."""

    key: str
    age_s: float  # since the answer


class CrashReport(NamedTuple):
    """What shows which requests crash endpoints, and which do not."""

    runs: tuple[CrashedRun, ...] = ()
    answered: tuple[AnsweredKey, ...] = ()


class KnownVersion(NamedTuple):
    """The newest version of the configuration, and gateways that have it."""

    version: int = 0  # 0 if none is known
    holders: tuple[str, ...] = ()  # 'host:port' for messages, newest first


class Hello(Message, frozen=True):
    """Registers a gateway with a store; the reply is `Neighbours`."""

    name: str
    gateway: Member


class Neighbours(Message, frozen=True):
    """Some of the gateways that registered with a store recently."""

    gateways: dict[str, Member]


class LoadReport(Message, frozen=True):
    """A gateway's requests in flight; the reply is `LoadSums`."""

    name: str
    in_flight: dict[str, int]  # requests by endpoint id
    # Shared prompt parts that endpoints have processed for the first time.
    read: list[ReadPart] = msgspec.field(default_factory=list)
    epoch: str = ''  # from the store's last reply
    position: int = 0  # end of the read parts in that reply
    leaving: list[LeavingEndpoint] = msgspec.field(default_factory=list)
    limits: list[NamedLimit] = msgspec.field(default_factory=list)
    # Requests a second that would go to limited endpoints, by endpoint id.
    demands: dict[str, float] = msgspec.field(default_factory=dict)
    crashes: CrashReport = CrashReport()
    configuration: KnownVersion = KnownVersion()
    quota_uses: dict[str, AccountUse] = msgspec.field(default_factory=dict)
    withdrawals: list[Withdrawal] = msgspec.field(default_factory=list)
    silent_s: float = 0  # since this gateway last had a reply of any store


class LoadSums(Message, frozen=True):
    """Sums over other gateways with recent reports, and new read parts."""

    in_flight: dict[str, int]
    read: list[ReadPart] = msgspec.field(default_factory=list)
    epoch: str = ''
    position: int = 0
    leaving: list[LeavingEndpoint] = msgspec.field(default_factory=list)
    limits: list[NamedLimit] = msgspec.field(default_factory=list)
    gateways: int = 0  # with recent reports; 0 if the store grants nothing
    crashes: CrashReport = CrashReport()
    configuration: KnownVersion = KnownVersion()
    # Demand at all other gateways, by account, in hundredths of a request a
    # second; only accounts of the report that need not be asked for.
    quota_others: dict[str, int] = msgspec.field(default_factory=dict)
    # Versions of the newest changes by the kind of the platform's objects.
    platform_changes: dict[str, int] = msgspec.field(default_factory=dict)
    withdrawals: list[Withdrawal] = msgspec.field(default_factory=list)
    platform_up_s: float = 0  # for how long it has answered a store


class ShareLoads(Message, frozen=True):
    """Requests in flight of a store's gateways, sent to another store."""

    name: str
    in_flight: dict[str, int]  # requests by endpoint id
    epoch: str  # from the receiving store's last reply
    position: int  # end of the read parts in that reply
    leaving: list[LeavingEndpoint] = msgspec.field(default_factory=list)
    limits: list[NamedLimit] = msgspec.field(default_factory=list)
    # Requests a second that its gateways would send to limited endpoints.
    demands: dict[str, float] = msgspec.field(default_factory=dict)
    gateways: int = 0  # that report to it
    crashes: CrashReport = CrashReport()
    configuration: KnownVersion = KnownVersion()
    # Of its gateways, by account, in hundredths of a request a second.
    quota_demands: dict[str, int] = msgspec.field(default_factory=dict)
    # Versions of the newest changes by the kind of the platform's objects.
    platform_changes: dict[str, int] = msgspec.field(default_factory=dict)
    withdrawals: list[Withdrawal] = msgspec.field(default_factory=list)
    platform_up_s: float = 0  # for how long it has answered this store


class ReadNews(Message, frozen=True):
    """Prompt parts that were added to a store's list after a position."""

    read: list[ReadPart]
    epoch: str
    position: int


class AskGrant(Message, frozen=True):
    """Asks to send one request to an endpoint; the reply is `Granted`."""

    name: str  # of the gateway
    limit: NamedLimit  # as the gateway knows it
    demand_per_s: float  # requests that it would send without the limit


class Granted(Message, frozen=True):
    """Whether a request that a gateway has asked for may be sent."""

    is_granted: bool
    retry_s: float = 0  # until it is worth asking again, if it may not


class AskReach(Message, frozen=True):
    """Asks a gateway to which stores it is connected."""


class Reach(Message, frozen=True):
    """The stores that a gateway is connected to."""

    names: list[str]


class AskEndpoints(Message, frozen=True):
    """Asks a gateway whether it reaches the endpoints."""


class EndpointsInReach(Message, frozen=True):
    """Whether a gateway reaches the endpoints, and its load."""

    callers: str  # 'host:port' at which it takes requests
    is_in_reach: bool
    in_flight: int  # requests that it serves


class AskBeliefs(Message, frozen=True):
    """Asks a gateway for its configuration and endpoints."""


class Beliefs(Message, frozen=True):
    """A gateway's configuration and endpoints, encoded by the gateway."""

    content: bytes
    # Of the endpoints' entries at the platform, by endpoint id.
    versions: dict[str, int] = msgspec.field(default_factory=dict)


class Relay(Message, frozen=True):
    """Asks a gateway to forward a request to a store."""

    target: str
    request: bytes  # an encoded envelope


class Relayed(Message, frozen=True):
    """The store's reply to a relayed request."""

    reply: bytes  # an encoded envelope
