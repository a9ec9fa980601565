"""Actor that runs the journal writer's state machine."""

import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from functools import partial
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

import pykka

from cactusledge.errors import CactusledgeError
from cactusledge.programs.journal.jobs import JobRunner, RetryDelay
from cactusledge.programs.journal.options import WriterOptions
from cactusledge.programs.journal.queue import (
    CommitQueue,
    Entry,
    PendingEntries,
)
from cactusledge.programs.journal.slot_access import SlotAccess
from cactusledge.protocol import journal
from cactusledge.protocol import journal_types as msg
from cactusledge.protocol.errors import (
    FencedError,
    HistoryError,
    JournalFailedError,
    JournalStoppedError,
)
from cactusledge.protocol.log_index import LogIndex
from cactusledge.protocol.records import ProgramRecord, encode_batch
from cactusledge.protocol.ring import MAX_DATA_BYTES

if TYPE_CHECKING:
    from cactusledge.programs.journal.takeover import TakenLog


class WriterStatus:
    """State of the writer that other threads may read."""

    def __init__(self, stopping: threading.Event) -> None:
        """Creates the status of a writer whose platform is reachable."""
        self.stopping = stopping
        self.platform_up = True
        self.full = False  # the ring is nearly full
        self.closing = False
        self.error: CactusledgeError | None = None


class Submit(NamedTuple):
    """Message: queue an entry."""

    entry: Entry


class Close(NamedTuple):
    """Message: resolve the future when all records are durable."""

    future: 'pykka.ThreadingFuture[None]'


class FlushDue(NamedTuple):
    """Message: the commit interval has elapsed."""

    force: bool = False  # appends even an empty batch, to detect a seal


# Whether an event shows the platform to be reachable. Other events leave the
# status as it was.
_PLATFORM_UP_AFTER: Mapping[type[Any], bool] = MappingProxyType({
    msg.Written: True,
    msg.ReadBack: True,
    msg.AnswerLost: False,
    msg.Unavailable: False,
    msg.ReadFailed: False,
})


class JournalActor(pykka.ThreadingActor):
    """Owns the state of one log's writer; its handlers never block."""

    def __init__(
        self,
        taken: 'TakenLog',
        slots: SlotAccess,
        executor: Executor,
        options: WriterOptions,
        status: WriterStatus,
        pending: PendingEntries,
    ) -> None:
        """Creates an idle writer that continues after the takeover's seal."""
        super().__init__()
        self._jobs = JobRunner(self.actor_ref, executor, status.stopping)
        self._retry_delay = RetryDelay(
            options.retry_base_s,
            options.retry_cap_s,
            options.jitter,
        )
        self._state = taken.journal_state
        self._log_index = taken.log_index
        self._slots = slots
        self._options = options
        self._status = status
        self._queue = CommitQueue(pending)
        self._retries = 0
        self._flush_scheduled = False
        self._next_flush_s = options.monotonic_s()

    def on_receive(self, message: Any) -> Any:
        """Handles a message of the writer or an event of the state machine."""
        default: _Handler = JournalActor.advance
        handler = _MESSAGE_HANDLERS.get(type(message), default)
        return handler(self, message)

    def on_stop(self) -> None:
        """Fails all entries that did not become durable."""
        error = self._status.error or JournalStoppedError(
            'The journal writer stopped before the records were durable.',
            remedy='Read the history after another instance has taken over.',
        )
        self._queue.settle_all(error)

    def on_failure(self, *failure: Any) -> None:
        """Fails all entries permanently after an unexpected error."""
        error = JournalFailedError(
            f'The writer of log {self._state.log!r} failed: {failure[1]}',
            remedy='Take the log over again.',
        )
        self._status.error = error
        self._queue.settle_all(error)

    def submit(self, message: Submit) -> None:
        """Queues an entry."""
        if self._status.error is not None:
            self._queue.pending.settle(message.entry, self._status.error)
            return
        self._queue.push(message.entry)
        self._schedule_flush()

    def close(self, message: Close) -> None:
        """Resolves the future as soon as all records are durable."""
        self._queue.when_idle(message.future)

    def flush(self, message: FlushDue) -> None:
        """Appends the queued and the carried-forward records, if any."""
        self._flush_scheduled = False
        if self._state.phase is not journal.Phase.IDLE:
            return
        interval_s = self._options.commit_interval_s
        batch = self._next_batch(self._state.number)
        is_due = bool(batch) or self._queue.has_in_flight
        if not is_due:
            interval_s = self._options.retry_cap_s
        self._next_flush_s = self._options.monotonic_s() + interval_s
        if is_due or message.force:
            oldest_needed = self._log_index.oldest_needed(self._state.number)
            self.advance(msg.Append(encode_batch(batch), oldest_needed))
        else:
            self._schedule_flush()

    def advance(self, event: Any) -> None:
        """Advances the state machine and carries out its effects."""
        previous_up = self._status.platform_up
        self._status.platform_up = _PLATFORM_UP_AFTER.get(
            type(event), previous_up
        )
        next_state, effects = journal.step(self._state, event)
        self._state = next_state
        for effect in effects:
            _EFFECT_HANDLERS[type(effect)](self, effect)

    def access_slot(self, effect: msg.WriteSlot | msg.ReadSlot) -> None:
        """Writes or reads a slot in the executor."""
        self._jobs.run(partial(self._slots.carry_out, effect))

    def back_off(self, effect: msg.BackOff) -> None:
        """Retries after a jittered delay that doubles each time."""
        delay_s = self._retry_delay.after(self._retries)
        self._retries += 1
        self._jobs.tell_later(delay_s, msg.RetryDue())

    def committed(self, effect: msg.Committed) -> None:
        """Reports the append as durable and schedules the next one."""
        self._retries = 0
        self._queue.settle_in_flight()
        self._schedule_flush()

    def fenced(self, effect: msg.Fenced) -> None:
        """Fails all entries permanently: another owner sealed the log."""
        error = FencedError(
            f'Log {self._state.log!r} was taken over by {effect.by!r}.',
            remedy='Repeat the call on any instance; it reads the history.',
        )
        self._status.error = error
        self._queue.settle_all(error)

    def _next_batch(self, number: int) -> tuple[ProgramRecord, ...]:
        self._status.full = self._log_index.is_nearly_full(number)
        limit = self._log_index.carry_limit_bytes(
            number, self._queue.head_bytes
        )
        carried = self._log_index.carry_forward(
            number, self._options.now_s(), limit
        )
        if not self._log_index.has_room(number):
            return carried.records
        left_bytes = MAX_DATA_BYTES - carried.size_bytes
        fresh = _apply_queued(self._log_index, number, self._queue, left_bytes)
        return (*carried.records, *fresh)

    def _schedule_flush(self) -> None:
        idle = self._state.phase is journal.Phase.IDLE
        if idle and len(self._queue) and not self._flush_scheduled:
            self._flush_scheduled = True
            delay_s = self._next_flush_s - self._options.monotonic_s()
            self._jobs.tell_later(max(delay_s, 0), FlushDue())


def _apply_queued(
    log_index: LogIndex,
    number: int,
    queue: CommitQueue,
    limit_bytes: int,
) -> Iterable[ProgramRecord]:
    for entry in queue.pop_up_to(limit_bytes):
        try:
            log_index.apply_batch(number, entry.records)
        except HistoryError as exc:
            queue.pending.settle(entry, exc)
        else:
            queue.add_in_flight(entry)
            yield from entry.records


_Handler: TypeAlias = Callable[[JournalActor, Any], Any]
_MESSAGE_HANDLERS: Mapping[type[Any], _Handler] = MappingProxyType({
    Submit: JournalActor.submit,
    Close: JournalActor.close,
    FlushDue: JournalActor.flush,
})
_EFFECT_HANDLERS: Mapping[type[Any], _Handler] = MappingProxyType({
    msg.WriteSlot: JournalActor.access_slot,
    msg.ReadSlot: JournalActor.access_slot,
    msg.BackOff: JournalActor.back_off,
    msg.Committed: JournalActor.committed,
    msg.Fenced: JournalActor.fenced,
})
