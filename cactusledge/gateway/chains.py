"""Turn chains in the form that engines read, cached by their last turn."""

import io
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import zstandard

from cactusledge.records.entries import Turn

MAX_CACHE_BYTES = 1 << 24
COMPRESSION_LEVEL = 1

_compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
_decompressor = zstandard.ZstdDecompressor()


class Chain(NamedTuple):
    """The text of all turns up to one, and what is known of the last."""

    text: bytes
    endpoint_id: str  # the engine that served it
    account: str = ''  # the account that it was served for, '' without one


EMPTY_CHAIN = Chain(b'', '')


def compress(text: bytes) -> bytes:
    """Returns the bytes compressed for storage in a record."""
    return _compressor.compress(text)


def join(turns: Iterable[Turn]) -> Chain:
    """Returns the chain made of the records, given oldest first."""
    text = io.BytesIO()  # its value is not copied
    endpoint_id = ''
    account = ''
    for turn in turns:
        text.write(_decompressor.decompress(turn.request))
        text.write(_decompressor.decompress(turn.response))
        endpoint_id = turn.endpoint_id
        account = turn.account
    return Chain(text.getvalue(), endpoint_id, account)


class ChainCache:
    """Least-recently-used cache of chains, bounded in bytes."""

    def __init__(self, capacity_bytes: int = MAX_CACHE_BYTES) -> None:
        """Starts empty."""
        self._chains: OrderedDict[str, Chain] = OrderedDict()
        self._capacity_bytes = capacity_bytes
        self._bytes = 0

    def get(self, turn_id: str) -> Chain | None:
        """Returns the chain that ends with the turn, None if not cached."""
        chain = self._chains.get(turn_id)
        if chain is not None:
            self._chains.move_to_end(turn_id)
        return chain

    def extend(self, chain: Chain, texts: Sequence[bytes], last: Turn) -> None:
        """Stores a chain with its next turn, and evicts old ones.

        One that is larger than the cache is not even joined.
        """
        size = len(chain.text) + sum(len(text) for text in texts)
        if size <= self._capacity_bytes:
            joined = b''.join((chain.text, *texts))
            self.put(
                last.turn_id, Chain(joined, last.endpoint_id, last.account)
            )

    def put(self, turn_id: str, chain: Chain) -> None:
        """Stores a chain and evicts the least recently used ones."""
        old = self._chains.pop(turn_id, None)
        if old is not None:
            self._bytes -= len(old.text)
        self._chains[turn_id] = chain
        self._bytes += len(chain.text)
        while self._bytes > self._capacity_bytes:
            _, dropped = self._chains.popitem(last=False)
            self._bytes -= len(dropped.text)
