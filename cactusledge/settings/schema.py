"""Pydantic models of the definition files that operators write."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Any, Literal

from pydantic import Field

from cactusledge.settings.strict import (
    AddressField,
    NameList,
    NonNegativeInt,
    PositiveInt,
    Seconds,
    StrictModel,
)

NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
HASH_PATTERN = '^[0-9a-f]{64}$'

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
TokenHash = Annotated[str, Field(pattern=HASH_PATTERN)]
Weight = Annotated[float, Field(ge=0, le=1000)]

DAY_S = 86400.0
DEFAULT_TIME_LIMIT_S = 3600.0
DEFAULT_IDLE_LIMIT_S = 300.0
DEFAULT_DEADLINE_S = 60.0
DEFAULT_OPERATION_TIMEOUT_S = 30.0
DEFAULT_PREFIX_CHUNK_TOKENS = 256
DEFAULT_LONGEST_ORDER_S = 120.0


class Weights(StrictModel):
    """What the scheduler weighs when it places and orders the program."""

    latency: Weight = Field(
        default=1.0, description='Weight of the latency of the whole program.'
    )
    wasted_cache: Weight = Field(
        default=1.0, description='Weight of prefix tokens computed again.'
    )


class ContinuationDefinition(StrictModel):
    """The operation that takes up a program whose caller went away."""

    service: Name = Field(description='Service to call.')
    operation: Name = Field(description='Its operation to call.')


class ProgramDefinition(StrictModel):
    """One kind of agent program."""

    name: Name = Field(description='Name that callers open programs by.')
    models: Annotated[tuple[Name, ...], Field(strict=False, min_length=1)] = (
        Field(description='Models that it may call.')
    )
    services: NameList = Field(
        default=(), description='Services that it may call.'
    )
    budget: PositiveInt = Field(
        description='Most that one program may spend, in units.'
    )
    turn_limit: PositiveInt = Field(
        default=100, description='Most calls of one program.'
    )
    time_limit_s: Seconds = Field(
        default=DEFAULT_TIME_LIMIT_S,
        description='Longest time from opening to end.',
    )
    idle_limit_s: Seconds = Field(
        default=DEFAULT_IDLE_LIMIT_S,
        description='Longest pause between two calls.',
    )
    deadline_s: Seconds = Field(
        default=DEFAULT_DEADLINE_S,
        description='Deadline of a call that names none.',
    )
    max_output_tokens: PositiveInt = Field(
        default=1024, description='Most tokens that one call may generate.'
    )
    weights: Weights = Field(
        default=Weights(), description='Latency against wasted cache.'
    )
    continuation: ContinuationDefinition | None = Field(
        default=None, description='Who continues it when its caller is gone.'
    )
    common_prefix: str = Field(
        default='', description='Text that all its histories begin with.'
    )


class OperationDefinition(StrictModel):
    """One operation of a service."""

    name: Name = Field(description='Name, also the last part of its path.')
    idempotent: bool = Field(
        description='Whether running it twice does the same as once.'
    )
    cost: NonNegativeInt = Field(
        default=0, description='Units charged for one run.'
    )
    timeout_s: Seconds = Field(
        default=DEFAULT_OPERATION_TIMEOUT_S, description='Limit of one run.'
    )
    status_query: Name | None = Field(
        default=None,
        description='Idempotent operation that tells whether a key has run.',
    )
    idempotency_key: bool = Field(
        default=False,
        description='Whether the service itself runs a key at most once.',
    )


class ServiceDefinition(StrictModel):
    """One plain service that programs call."""

    name: Name = Field(description='Name of the service.')
    operations: Annotated[
        tuple[OperationDefinition, ...], Field(strict=False, min_length=1)
    ] = Field(description='Operations that programs may call.')


class ModelDefinition(StrictModel):
    """One model that engines serve."""

    name: Name = Field(description='Name of the model.')
    context_tokens: PositiveInt = Field(
        description='Longest prompt and output together, in tokens.'
    )
    prefix_chunk_tokens: PositiveInt = Field(
        default=DEFAULT_PREFIX_CHUNK_TOKENS,
        description='Size of the pieces that engines cache.',
    )
    units_per_token: PositiveInt = Field(
        default=1, description='Units charged for one token.'
    )


class EndpointDefinition(StrictModel):
    """One replica at a fixed address, where the live list has none."""

    name: Name = Field(description='Name of the replica.')
    kind: Literal['model', 'service'] = Field(
        description='`model` for an engine, `service` for a plain service.'
    )
    service: Name = Field(description='The model or service that it serves.')
    address: AddressField = Field(description='Where it listens.')
    data_centre: Name = Field(description='Data centre it runs in.')


class AccountDefinition(StrictModel):
    """One account that callers use."""

    name: Name = Field(description='Name of the account.')
    token_sha256: Annotated[
        tuple[TokenHash, ...], Field(strict=False, min_length=1)
    ] = Field(description='SHA-256 hashes of its tokens, by `hash-token`.')
    programs: NameList = Field(
        default=(), description='Programs that it may open.'
    )
    share: Annotated[float, Field(gt=0, le=1000)] = Field(
        default=1.0, description='Weight of its share under overload.'
    )
    max_programs: PositiveInt = Field(
        default=100, description='Most programs under way at once.'
    )


class EngineOrdersDefinition(StrictModel):
    """How the engines of a model treat orders."""

    model: Name = Field(description='Name of the model.')
    checks_fencing: bool = Field(
        description='Whether engines refuse an old fencing number.'
    )
    longest_order_s: Annotated[float, Field(gt=0, le=DAY_S)] = Field(
        default=DEFAULT_LONGEST_ORDER_S,
        description='Longest time that one order takes.',
    )


def _list_field(description: str) -> Any:
    return Field(default=(), strict=False, description=description)


class Definitions(StrictModel):
    """The contents of one definition file, or of all of them merged."""

    programs: tuple[ProgramDefinition, ...] = _list_field('Agent programs.')
    services: tuple[ServiceDefinition, ...] = _list_field('Plain services.')
    models: tuple[ModelDefinition, ...] = _list_field('Models.')
    endpoints: tuple[EndpointDefinition, ...] = _list_field('Fixed endpoints.')
    accounts: tuple[AccountDefinition, ...] = _list_field(
        'Accounts of callers.'
    )
    engine_orders: tuple[EngineOrdersDefinition, ...] = _list_field(
        'How engines treat orders.'
    )


KEY_FIELDS: Mapping[str, str] = MappingProxyType({
    'programs': 'name',
    'services': 'name',
    'models': 'name',
    'endpoints': 'name',
    'accounts': 'name',
    'engine_orders': 'model',
})


def key_of(kind: str, definition: StrictModel) -> str:
    """Returns the value that identifies a definition within its kind."""
    return str(getattr(definition, KEY_FIELDS[kind]))
