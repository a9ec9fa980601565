"""Bounded connections to endpoints, kept for reuse or fresh for each use."""

import threading
from collections import OrderedDict
from collections.abc import Generator
from contextlib import contextmanager
from typing import NamedTuple

from urllib3 import HTTPConnectionPool

from cactusledge.endpoints.connections import SOCKET_OPTIONS, EndpointConnection
from cactusledge.endpoints.errors import EndpointRefusedError
from cactusledge.models import Address


class PoolLimits(NamedTuple):
    """How many connections there are."""

    addresses: int = 256
    kept: int = 16  # to one address, in use and idle together
    fresh: int = 64  # to one address
    wait_s: float = 1  # for a fresh one to come free


DEFAULT_LIMITS = PoolLimits()


class _Pool(HTTPConnectionPool):
    ConnectionCls = EndpointConnection


class _Access(NamedTuple):
    """What there is for one address."""

    kept: HTTPConnectionPool
    fresh: threading.BoundedSemaphore


class ConnectionPools:
    """Keeps the connections of the addresses that were used last.

    urllib3 closes a kept connection that is readable before its use, so an
    endpoint's earlier close is seen before anything is sent. A close that
    crosses with the send is not seen, nor a path that is gone; calls that must
    not be repeated, and streams, take a `fresh` connection.
    """

    def __init__(self, limits: PoolLimits = DEFAULT_LIMITS) -> None:
        """Starts without connections."""
        self._limits = limits
        self._lock = threading.Lock()
        self._accesses: OrderedDict[Address, _Access] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of addresses with connections."""
        return len(self._accesses)

    @contextmanager
    def shared(self, address: Address) -> Generator[HTTPConnectionPool]:
        """Gives the kept connections to an address."""
        yield self._find(address).kept

    @contextmanager
    def fresh(self, address: Address) -> Generator[HTTPConnectionPool]:
        """Gives a pool of one new connection and closes it at the end.

        Raises:
            EndpointRefusedError: There are too many; nothing was sent.
        """
        places = self._find(address).fresh
        if not places.acquire(timeout=self._limits.wait_s):
            raise EndpointRefusedError(
                f'All {self._limits.fresh} connections to {address} are used.',
                remedy='Send the call to another replica, or later.',
                retry_after_s=self._limits.wait_s,
            )
        pool = _new_pool(address, 1)
        try:
            yield pool
        finally:
            pool.close()
            places.release()

    def evict(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        with self._lock:
            access = self._accesses.get(address)
            if access is None:
                return
            kept = _new_pool(address, self._limits.kept)
            self._accesses[address] = access._replace(kept=kept)
        access.kept.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            accesses = tuple(self._accesses.values())
            self._accesses.clear()
        for access in accesses:
            access.kept.close()

    def _find(self, address: Address) -> _Access:
        with self._lock:
            access = self._accesses.get(address) or self._new(address)
            self._accesses[address] = access
            self._accesses.move_to_end(address)
            surplus = self._pop_surplus()
        for old in surplus:
            old.kept.close()
        return access

    def _pop_surplus(self) -> list[_Access]:
        count = max(0, len(self._accesses) - self._limits.addresses)
        return [self._accesses.popitem(last=False)[1] for _ in range(count)]

    def _new(self, address: Address) -> _Access:
        return _Access(
            _new_pool(address, self._limits.kept),
            threading.BoundedSemaphore(self._limits.fresh),
        )


def _new_pool(
    address: Address,
    connections: int,
) -> HTTPConnectionPool:
    return _Pool(
        address.host,
        address.port,
        maxsize=connections,
        block=True,
        socket_options=SOCKET_OPTIONS,
    )
