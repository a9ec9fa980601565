"""Bounded connections to endpoints, kept alive or opened for each use."""

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
    """Limits on the number of connections."""

    addresses: int = 256
    keep_alive: int = 16  # per address, in use and idle together
    fresh: int = 64  # per address
    acquire_timeout_s: float = 1  # for a fresh connection


DEFAULT_LIMITS = PoolLimits()


class _Pool(HTTPConnectionPool):
    ConnectionCls = EndpointConnection


class _AddressPools(NamedTuple):
    """Keep-alive pool and limit on fresh connections of one address."""

    keep_alive: HTTPConnectionPool
    fresh: threading.BoundedSemaphore


class ConnectionPools:
    """Keeps connection pools for the most recently used addresses.

    Before reuse, urllib3 closes a connection that has become readable, so a
    close by the endpoint is detected before the request is sent. A close that
    happens during the send is not detected, nor is a lost network path.
    Therefore streams and calls that must not be repeated use a `fresh`
    connection.
    """

    def __init__(self, limits: PoolLimits = DEFAULT_LIMITS) -> None:
        """Starts with no open connections."""
        self._limits = limits
        self._lock = threading.Lock()
        self._pools: OrderedDict[Address, _AddressPools] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of addresses that have pools."""
        return len(self._pools)

    @contextmanager
    def shared(self, address: Address) -> Generator[HTTPConnectionPool]:
        """Provides the keep-alive pool of an address."""
        yield self._pools_of(address).keep_alive

    @contextmanager
    def fresh(self, address: Address) -> Generator[HTTPConnectionPool]:
        """Provides a pool of one new connection and closes it afterwards.

        Raises:
            EndpointRefusedError: The limit is reached; nothing was sent.
        """
        slots = self._pools_of(address).fresh
        if not slots.acquire(timeout=self._limits.acquire_timeout_s):
            raise EndpointRefusedError(
                f'All {self._limits.fresh} connections to {address} are busy.',
                remedy='Send the call to another replica, or retry later.',
                retry_after_s=self._limits.acquire_timeout_s,
            )
        pool = _new_pool(address, 1)
        try:
            yield pool
        finally:
            pool.close()
            slots.release()

    def evict(self, address: Address) -> None:
        """Closes the idle connections to an address."""
        with self._lock:
            address_pools = self._pools.get(address)
            if address_pools is None:
                return
            keep_alive = _new_pool(address, self._limits.keep_alive)
            self._pools[address] = address_pools._replace(keep_alive=keep_alive)
        address_pools.keep_alive.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            all_pools = tuple(self._pools.values())
            self._pools.clear()
        for address_pools in all_pools:
            address_pools.keep_alive.close()

    def _pools_of(self, address: Address) -> _AddressPools:
        with self._lock:
            address_pools = self._pools.get(address) or self._new_pools(address)
            self._pools[address] = address_pools
            self._pools.move_to_end(address)
            evicted = self._pop_least_recently_used()
        for old in evicted:
            old.keep_alive.close()
        return address_pools

    def _pop_least_recently_used(self) -> list[_AddressPools]:
        count = max(0, len(self._pools) - self._limits.addresses)
        return [self._pools.popitem(last=False)[1] for _ in range(count)]

    def _new_pools(self, address: Address) -> _AddressPools:
        return _AddressPools(
            _new_pool(address, self._limits.keep_alive),
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
