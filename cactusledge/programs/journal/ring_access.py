"""Lists a log's ring of slots and creates missing slots."""

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from cactusledge.errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from cactusledge.protocol import ring
from cactusledge.protocol.errors import HistoryError

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

MAX_PARALLEL_CREATES = 8  # concurrent requests while creating a ring
MAX_LISTINGS = 5


def read_ring(store: 'ObjectStore', log: str, size: int) -> ring.Ring:
    """Returns the listed log, after creating it if it does not exist.

    Slot 0 is created first and determines the size, so concurrent creators
    create the same ring. A listing whose slots are from different points in
    time can lack an append; it is repeated.

    Raises:
        HistoryError: If an append is still missing after several listings.
        StoreUnavailableError: If the platform does not answer.
    """
    last_error: HistoryError | None = None
    for _ in range(MAX_LISTINGS):
        slots = _list_slots(store, log)
        first = slots.get(0)
        if first is None:
            _create(store, log, 0, size)
        elif len(slots) < first.size:
            _create_missing(store, log, slots, first.size)
        else:
            try:
                return ring.assemble(
                    slots[index] for index in range(first.size)
                )
            except HistoryError as exc:
                last_error = exc
    raise last_error or takeover_unavailable_error(log)


def takeover_unavailable_error(log: str) -> StoreUnavailableError:
    """Returns the error for a log that could not be read or sealed."""
    return StoreUnavailableError(
        f'Log {log!r} could not be taken over.',
        remedy='Try again when the platform answers.',
        retry_after_s=1,
    )


def _list_slots(store: 'ObjectStore', log: str) -> dict[int, ring.Slot]:
    prefix = ring.slot_prefix(log)
    listed = store.list(ring.SLOT_KIND, prefix)
    return {
        int(stored.name.removeprefix(prefix)): ring.parse_slot(
            stored.body, stored.version
        )
        for stored in listed.items
    }


def _create_missing(
    store: 'ObjectStore',
    log: str,
    slots: dict[int, ring.Slot],
    size: int,
) -> None:
    missing = [index for index in range(size) if index not in slots]
    with ThreadPoolExecutor(MAX_PARALLEL_CREATES) as pool:
        futures = [
            pool.submit(_create, store, log, index, size) for index in missing
        ]
    for future in futures:
        future.result()


def _create(store: 'ObjectStore', log: str, index: int, size: int) -> None:
    name = ring.slot_name(log, index)
    try:
        store.create(ring.SLOT_KIND, name, ring.empty_body(log, size))
    except (StoreConflictError, StoreAnswerLostError):
        return  # the next listing shows whether the slot exists
