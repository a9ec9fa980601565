"""Keeps copies of journal records in peers' memory until they are durable."""

import threading
from collections.abc import Callable, Sequence

from cactusledge.errors import CactusledgeError
from cactusledge.peers.client import PeerClient
from cactusledge.peers.messages import HeldBatch
from cactusledge.protocol.records import (
    ProgramRecord,
    Record,
    Seal,
    Void,
    decode_batch,
    encode_batch,
)
from cactusledge.telemetry.logs import get_logger

MAX_HELD_BYTES = 16_777_216
MAX_PEERS_TRIED = 2  # peers that a batch is offered to

log = get_logger('held')


class HeldStore:
    """Batches that this instance holds for its peers, bounded in bytes.

    The latest batch of an owner contains all of its records that are not yet
    durable, so it replaces the previous one.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        """Creates an empty store."""
        self._max_bytes = max_bytes
        self._batches: dict[tuple[str, str], HeldBatch] = {}
        self._lock = threading.Lock()

    def put(self, batch: HeldBatch) -> bool:
        """Stores a batch; returns False if it exceeds the size limit."""
        key = (batch.log, batch.owner)
        with self._lock:
            held = self._batches.get(key)
            if held is not None and held.number >= batch.number:
                return True
            others = sum(
                len(one.records)
                for name, one in self._batches.items()
                if name != key
            )
            if others + len(batch.records) > self._max_bytes:
                return False
            self._batches[key] = batch
            return True

    def find(self, log_name: str) -> tuple[HeldBatch, ...]:
        """Returns the batches held for a log."""
        with self._lock:
            return tuple(
                batch
                for (name, _), batch in sorted(self._batches.items())
                if name == log_name
            )

    def drop(self, log_name: str, up_to: int) -> None:
        """Drops the batches of a log numbered up to and including `up_to`."""
        with self._lock:
            self._batches = {
                key: batch
                for key, batch in self._batches.items()
                if key[0] != log_name or batch.number > up_to
            }


class PeerHeldRecords:
    """Copies records that are not yet durable to peers' memory."""

    def __init__(
        self,
        owner: str,
        peers: Callable[[], Sequence[PeerClient]],
        local_store: HeldStore,
    ) -> None:
        """Creates the client side of the held records.

        Args:
            owner: Name of this instance.
            peers: Returns the live instances of this data centre, the nearest
                first.
            local_store: Batches that this instance holds for its peers.
        """
        self._owner = owner
        self._peers = peers
        self._local_store = local_store
        self._holding: set[str] = set()

    def fetch(self, log_name: str) -> Sequence[ProgramRecord]:
        """Returns the records of a log held here and by the live peers."""
        batches = {
            (batch.owner, batch.number): batch
            for batch in self._local_store.find(log_name)
        }
        for client in self._peers():
            try:
                held = client.held_records(log_name)
            except CactusledgeError as exc:
                log.info(
                    'Reading held records from a peer failed.',
                    reason=exc.message,
                )
                continue
            for batch in held:
                batches[batch.owner, batch.number] = batch
        return [
            record
            for key in sorted(batches)
            for record in _program_records(decode_batch(batches[key].records))
        ]

    def hold(
        self,
        log_name: str,
        records: Sequence[ProgramRecord],
        number: int,
    ) -> bool:
        """Copies records to a peer; returns whether a peer accepted them.

        A batch replaces those with lower numbers.
        """
        batch = HeldBatch(
            log=log_name,
            number=number,
            owner=self._owner,
            records=encode_batch(records),
        )
        for client in self._peers()[:MAX_PEERS_TRIED]:
            try:
                client.hold_records(batch)
            except CactusledgeError as exc:
                log.info(
                    'Peer did not take records to hold.', reason=exc.message
                )
                continue
            self._holding.add(log_name)
            return True
        return False

    def is_holding(self, log_name: str) -> bool:
        """Returns whether a peer may hold records of a log."""
        return log_name in self._holding

    def drop(self, log_name: str, up_to: int) -> None:
        """Drops all copies of durable records, here and on the peers."""
        self._holding.discard(log_name)
        self._local_store.drop(log_name, up_to)
        for client in self._peers():
            try:
                client.drop_held(log_name, up_to)
            except CactusledgeError as exc:
                log.info(
                    'Dropping held records on a peer failed.',
                    reason=exc.message,
                )


def _program_records(records: Sequence[Record]) -> list[ProgramRecord]:
    return [one for one in records if not isinstance(one, Seal | Void)]
