"""Bounded connection pools, one for each endpoint address."""

import threading
from collections import OrderedDict
from collections.abc import Generator
from contextlib import contextmanager
from typing import NamedTuple

from urllib3 import HTTPConnectionPool

from cactusledge.models import Address


class PoolLimits(NamedTuple):
    """How many connections are kept."""

    addresses: int = 256
    connections: int = 64  # to one address, in use and idle together
    wait_s: float = 1  # for a connection to come free


DEFAULT_LIMITS = PoolLimits()


class ConnectionPools:
    """Keeps pools of the addresses that were used last.

    urllib3 closes a pooled connection that is readable before its use, so an
    endpoint's earlier close is seen before anything is sent. A close that
    crosses with the send is not seen; calls that must not be repeated take a
    `fresh` connection.
    """

    def __init__(self, limits: PoolLimits = DEFAULT_LIMITS) -> None:
        """Starts without connections."""
        self._limits = limits
        self._lock = threading.Lock()
        self._pools: OrderedDict[Address, HTTPConnectionPool] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of addresses with a pool."""
        return len(self._pools)

    @contextmanager
    def shared(self, address: Address) -> Generator[HTTPConnectionPool]:
        """Gives the pool of an address."""
        yield self._find(address)

    @contextmanager
    def fresh(self, address: Address) -> Generator[HTTPConnectionPool]:
        """Gives a pool without connections and closes it at the end."""
        pool = HTTPConnectionPool(address.host, address.port, maxsize=1)
        try:
            yield pool
        finally:
            pool.close()

    def evict(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in tuple(self._pools):
            self.evict(address)

    def _find(self, address: Address) -> HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address) or self._new_pool(address)
            self._pools[address] = pool
            self._pools.move_to_end(address)
            surplus = self._pop_surplus()
        for old in surplus:
            old.close()
        return pool

    def _pop_surplus(self) -> list[HTTPConnectionPool]:
        count = max(0, len(self._pools) - self._limits.addresses)
        return [self._pools.popitem(last=False)[1] for _ in range(count)]

    def _new_pool(self, address: Address) -> HTTPConnectionPool:
        return HTTPConnectionPool(
            address.host,
            address.port,
            maxsize=self._limits.connections,
            block=True,
        )
