"""The group that a store has adopted, in memory and on disk."""

import asyncio
from functools import partial
from pathlib import Path

import structlog

from cactusledge.records import entries
from cactusledge.records.disk import read_document
from cactusledge.records.log import RecordLog
from cactusledge.records.membership import decode_group, encode_group
from cactusledge.records.shards import ShardTable, decode_table, encode_table

GROUP_FILE = 'group.json'
TABLE_FILE = 'shards.json'

log = structlog.get_logger('records')


class AdoptedGroup:
    """Adopts newer groups of its shard only, and writes each one to disk.

    A store that is no member and keeps no records may change to another shard.
    After a power loss a store continues with the group on its disk. The next
    change of the group therefore has to wait for `durable_generation`, not
    for the group in memory.
    """

    def __init__(self, name: str, record_log: RecordLog) -> None:
        """Starts without a group."""
        self.group: entries.Group = entries.EMPTY_GROUP
        self.durable_generation = 0  # of the group on disk
        # The newest one that a majority is known to have had on disk. It stays
        # so if members are lost: none of them uses an older group any more.
        self.established_generation = 0
        self._name = name
        self._log = record_log
        self._generation_in_flight = 0  # being written to disk, 0 if none

    @property
    def is_member(self) -> bool:
        """Whether this instance belongs to the group."""
        return self._name in self.group.members

    def adopt(self, group: entries.Group) -> bool:
        """Adopts the group if it is newer; returns whether it was."""
        if not self._may_adopt(group):
            return False
        if group.shard != self.group.shard:
            self.durable_generation = 0
            self.established_generation = 0
            self._generation_in_flight = 0
        self.group = group
        self.persist()
        log.info(
            'records: group adopted',
            generation=group.generation,
            shard=group.shard,
            members=sorted(group.members),
            is_member=self.is_member,
        )
        return True

    def persist(self) -> None:
        """Starts writing the group unless it is on disk or being written."""
        generation = self.group.generation
        if generation in {self.durable_generation, self._generation_in_flight}:
            return
        self._generation_in_flight = generation
        fut = self._log.write_document(GROUP_FILE, encode_group(self.group))
        fut.add_done_callback(partial(self._on_written, self.group))

    def persist_table(self, table: ShardTable) -> None:
        """Starts writing the groups of all shards, for gateways that ask.

        Only a hint: they may be outdated, and a failed write is not repeated.
        """
        fut = self._log.write_document(TABLE_FILE, encode_table(table))
        fut.add_done_callback(log_failed_write)

    def _may_adopt(self, group: entries.Group) -> bool:
        own = self.group
        if group.shard == own.shard or not own.generation:
            return group.generation > own.generation
        return not self.is_member and not self._log.head

    def _on_written(
        self, group: entries.Group, fut: 'asyncio.Future[None]'
    ) -> None:
        if group.shard != self.group.shard:
            return
        exc = fut.exception()
        if exc is None:
            self.durable_generation = group.generation
            return
        log.warning('records: writing the group failed', error=repr(exc))
        if self._generation_in_flight == group.generation:
            self._generation_in_flight = 0


def log_failed_write(fut: 'asyncio.Future[None]') -> None:
    """Logs that the groups of all shards could not be written."""
    if fut.exception() is not None:
        log.warning(
            'records: writing the shard table failed',
            error=repr(fut.exception()),
        )


def read_table(folder: Path) -> ShardTable:
    """Returns the groups of all shards on disk, none if there are none."""
    document = read_document(folder, TABLE_FILE)
    return ShardTable(()) if document is None else decode_table(document)


def read_group(folder: Path) -> entries.Group | None:
    """Returns the group on disk, None if there is none."""
    document = read_document(folder, GROUP_FILE)
    return None if document is None else decode_group(document)
