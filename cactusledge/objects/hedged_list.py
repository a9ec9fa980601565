"""Lists objects, with further tries while the first one is not answered.

A list that was sent just before the platform can be reached again is lost, and
its time-out is long enough for a slow platform.
"""

import queue
import threading
from contextlib import suppress

from cactusledge.errors import StoreError, StoreUnavailableError
from cactusledge.objects.store import ObjectList, ObjectStore

HEDGE_S = 0.4  # until the list is sent once more
MAX_TRIES = 4  # at a time

Answer = ObjectList | StoreError


def unexpected(exc: Exception) -> StoreError:
    """Returns the error of a list or watch that failed unexpectedly."""
    return StoreUnavailableError(
        f'The list or watch failed unexpectedly ({type(exc).__name__}).',
        remedy='Look for the error in the log; it is tried again.',
    )


class HedgedList:
    """One list of a kind; the first answer of any try counts."""

    def __init__(self, store: ObjectStore, kind: str, prefix: str) -> None:
        """Stores what to list; `fetch` sends it."""
        self._store = store
        self._kind = kind
        self._prefix = prefix
        self._answers: queue.SimpleQueue[Answer] = queue.SimpleQueue()

    def fetch(self) -> ObjectList:
        """Returns the list; raises StoreError if the first try to end failed.

        Tries that are still open end in their own threads.
        """
        answer = self._first_answer()
        if isinstance(answer, StoreError):
            raise answer
        return answer

    def _first_answer(self) -> Answer:
        for _ in range(1, MAX_TRIES):
            self._start_try()
            with suppress(queue.Empty):
                return self._answers.get(timeout=HEDGE_S)
        self._start_try()
        return self._answers.get()

    def _start_try(self) -> None:
        threading.Thread(
            target=self._try, name=f'list-{self._kind}', daemon=True
        ).start()

    def _try(self) -> None:
        try:
            self._answers.put(self._store.list(self._kind, self._prefix))
        except StoreError as exc:
            self._answers.put(exc)
        except Exception as exc:
            self._answers.put(unexpected(exc))
