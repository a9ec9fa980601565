"""Writes one log, with group commit, retries and fencing.

The state machine is in `protocol.journal`. Object store requests and delays
run in the executor; a writer has at most one job running at a time.

Records of one program must be appended in the order of their digest chain;
`append` preserves the order of its calls. The records of one call share one
object: either all of them become durable or none.
"""

import contextlib
import threading
from collections.abc import Iterable
from concurrent.futures import Executor
from typing import TYPE_CHECKING

import pykka

from cactusledge.programs.journal.actor import (
    Close,
    FlushDue,
    JournalActor,
    Submit,
    WriterStatus,
)
from cactusledge.programs.journal.options import WriterOptions
from cactusledge.programs.journal.queue import OnDone, PendingEntries
from cactusledge.programs.journal.slot_access import SlotAccess
from cactusledge.protocol.errors import JournalFullError, JournalStoppedError
from cactusledge.protocol.journal import FULL_RETRY_S
from cactusledge.protocol.log_index import check_size
from cactusledge.protocol.records import Opened, ProgramRecord

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore
    from cactusledge.programs.journal.takeover import TakenLog


class JournalWriter:
    """Handle of the actor that writes one log; thread-safe."""

    def __init__(
        self,
        store: 'ObjectStore',
        taken: 'TakenLog',
        executor: Executor,
        options: WriterOptions | None = None,
    ) -> None:
        """Starts the actor, which continues after the takeover's seal."""
        options = options or WriterOptions()
        self._pending = PendingEntries(options.max_waiting_bytes)
        self._status = WriterStatus(threading.Event())
        self._ref = JournalActor.start(
            taken,
            SlotAccess(store, taken.journal_state),
            executor,
            options,
            self._status,
            self._pending,
        )

    def append(
        self,
        records: Iterable[ProgramRecord],
        on_done: OnDone | None = None,
    ) -> 'pykka.ThreadingFuture[None]':
        """Queues records; the future resolves when they are durable.

        An append without records checks whether this writer still owns the
        log.

        Once another owner has sealed the log, all pending futures fail with
        FencedError, and later appends raise it. `on_done` is called with the
        error of the future, or None. It runs in the writer's thread and must
        not block.

        Raises:
            FencedError: If the log was sealed by another owner.
            JournalBusyError: If too many bytes are not yet durable; nothing
                was queued.
            JournalFullError: If the records open a program while the ring is
                nearly full.
            JournalStoppedError: If the writer is stopping or stopped.
            RefusedCallError: If the records do not fit into one object.
        """
        batch = tuple(records)
        self._check(batch)
        entry = self._pending.add(batch, check_size(batch), on_done)
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(Submit(entry))
        if not self._ref.is_alive():
            self._pending.settle(entry, self._status.error or _stopped_error())
        return entry.future

    def platform_up(self) -> bool:
        """Returns whether the platform answered the latest request."""
        return self._status.platform_up

    def probe(self) -> None:
        """Starts a check for another owner's seal."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref.tell(FlushDue(force=True))

    def has_failed(self) -> bool:
        """Returns whether the writer was fenced or failed permanently."""
        return self._status.error is not None

    def waiting_bytes(self) -> int:
        """Returns the size of the records that are not yet durable."""
        return self._pending.size_bytes

    def waiting_records(self) -> tuple[ProgramRecord, ...]:
        """Returns the records that are not yet confirmed as durable."""
        return self._pending.records()

    def stop(self, grace_s: float) -> tuple[ProgramRecord, ...]:
        """Waits for durability, then stops; returns records still pending."""
        future: pykka.ThreadingFuture[None] = pykka.ThreadingFuture()
        self._status.closing = True
        with contextlib.suppress(pykka.Timeout, pykka.ActorDeadError):
            self._ref.tell(Close(future))
            future.get(timeout=grace_s)
        not_durable = self.waiting_records()
        self._status.stopping.set()
        self._ref.stop()
        return not_durable

    def _check(self, batch: tuple[ProgramRecord, ...]) -> None:
        if self._status.error is not None:
            raise self._status.error
        if self._status.closing:
            raise _stopped_error()
        opens = any(isinstance(record, Opened) for record in batch)
        if opens and self._status.full:
            raise JournalFullError(
                'The ring of journal slots is nearly full.',
                remedy='Try again after programs have ended.',
                retry_after_s=FULL_RETRY_S,
            )


def _stopped_error() -> JournalStoppedError:
    return JournalStoppedError(
        'The journal writer was stopped.',
        remedy='Send the request to another instance.',
    )
