"""The configuration that instances run: immutable data and its lookups."""

import hashlib
from collections.abc import Mapping
from itertools import chain
from typing import NamedTuple, TypeVar

from cactusledge.models import Endpoint
from cactusledge.settings.errors import UnknownNameError, nearest_name

ItemT = TypeVar('ItemT')


class Weights(NamedTuple):
    """Scheduling weights of a program."""

    latency: float = 1.0
    wasted_cache: float = 1.0


class Continuation(NamedTuple):
    """The operation that continues a program whose caller is gone."""

    service: str
    operation: str


class Program(NamedTuple):
    """One kind of agent program."""

    name: str
    models: tuple[str, ...]
    services: tuple[str, ...]
    budget: int  # units
    turn_limit: int
    time_limit_s: float
    idle_limit_s: float
    deadline_s: float
    max_output_tokens: int
    weights: Weights = Weights()
    continuation: Continuation | None = None
    common_prefix: str = ''


class Operation(NamedTuple):
    """One operation of a service."""

    name: str
    idempotent: bool
    cost: int  # units
    timeout_s: float
    status_query: str = ''  # operation that tells whether a key was executed
    idempotency_key: bool = False  # the service executes a key at most once


class Service(NamedTuple):
    """One plain (non-model) service."""

    name: str
    operations: Mapping[str, Operation]

    def operation(self, name: str) -> Operation:
        """Returns the operation; raises UnknownNameError."""
        return _find(f"operation of '{self.name}'", self.operations, name)


class Model(NamedTuple):
    """One model that engines serve."""

    name: str
    context_tokens: int
    prefix_chunk_tokens: int
    units_per_token: int


class Account(NamedTuple):
    """One account that callers use."""

    name: str
    programs: tuple[str, ...]
    share: float
    max_programs: int


class EngineOrders(NamedTuple):
    """How the engines of a model execute orders."""

    checks_fencing: bool = False
    longest_order_s: float = 120.0


class Configuration(NamedTuple):
    """All definitions that operators published under one generation."""

    generation: int = 0
    digest: str = ''
    programs: Mapping[str, Program] = {}
    services: Mapping[str, Service] = {}
    models: Mapping[str, Model] = {}
    accounts: Mapping[str, Account] = {}
    account_names: Mapping[str, str] = {}  # by token hash
    endpoints: Mapping[str, tuple[Endpoint, ...]] = {}  # by service
    engine_orders: Mapping[str, EngineOrders] = {}  # by model

    def program(self, name: str) -> Program:
        """Returns the program; raises UnknownNameError."""
        return _find('program', self.programs, name)

    def service(self, name: str) -> Service:
        """Returns the service; raises UnknownNameError."""
        return _find('service', self.services, name)

    def model(self, name: str) -> Model:
        """Returns the model; raises UnknownNameError."""
        return _find('model', self.models, name)

    def account(self, name: str) -> Account:
        """Returns the account; raises UnknownNameError."""
        return _find('account', self.accounts, name)

    def account_for_token(self, token: str) -> Account | None:
        """Returns the account that a caller's token belongs to, or None."""
        hashed = hash_token(token)
        name = self.account_names.get(hashed)
        return None if name is None else self.accounts[name]

    def fixed_endpoints(self) -> tuple[Endpoint, ...]:
        """Returns all endpoints that definition files list."""
        return tuple(chain.from_iterable(self.endpoints.values()))

    def endpoints_of(self, service: str) -> tuple[Endpoint, ...]:
        """Returns the fixed endpoints of a model or service."""
        return self.endpoints.get(service, ())

    def orders_of(self, model: str) -> EngineOrders:
        """Returns the order settings of a model, or the defaults."""
        return self.engine_orders.get(model, EngineOrders())


def hash_token(token: str) -> str:
    """Returns the SHA-256 hash stored in definition files for a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def _find(what: str, known: Mapping[str, ItemT], name: str) -> ItemT:
    try:
        return known[name]
    except KeyError:
        raise UnknownNameError(
            f"There is no {what} named '{name}'.",
            remedy=nearest_name(name, known),
        ) from None
