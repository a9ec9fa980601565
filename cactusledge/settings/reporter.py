"""Reports to the platform which generation this instance runs."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from cactusledge.errors import StoreError, StoreNotFoundError
from cactusledge.settings.rollout import STATUS_KIND, StatusBody
from cactusledge.telemetry.logs import get_logger

if TYPE_CHECKING:
    from cactusledge.objects.store import ObjectStore

REFRESH_INTERVAL_S = 20.0
MIN_INTERVAL_S = 1.0
UNKNOWN_VERSION = ''

log = get_logger('config')


class StatusReporter:
    """Writes the instance's report after a change, and at an interval.

    A report that could not be written is retried at a later tick.
    Reports inform operators, and other instances of the peer address.
    """

    def __init__(
        self,
        store: 'ObjectStore',
        *,
        instance: str,
        data_centre: str,
        generation: Callable[[], int],
        now: Callable[[], float],
        peers: str = '',
    ) -> None:
        """Creates a reporter for one instance.

        `peers` is the peer address of this instance, as `host:port`.
        """
        self._peers = peers
        self._store = store
        self._instance = instance
        self._data_centre = data_centre
        self._generation = generation
        self._now = now
        self._version = UNKNOWN_VERSION
        self._reported_generation = -1
        self._last_attempt_s = float('-inf')

    def tick(self) -> bool:
        """Writes a report if one is due; returns whether it was written."""
        generation = self._generation()
        is_new = generation != self._reported_generation
        wait_s = MIN_INTERVAL_S if is_new else REFRESH_INTERVAL_S
        if self._now() - self._last_attempt_s < wait_s:
            return False
        self._last_attempt_s = self._now()
        try:
            self._write(self._body(generation))
        except StoreError as exc:
            self._version = UNKNOWN_VERSION
            log.debug('Status report not written.', code=exc.code)
            return False
        self._reported_generation = generation
        return True

    def _body(self, generation: int) -> StatusBody:
        return {
            'instance': self._instance,
            'data_centre': self._data_centre,
            'generation': generation,
            'reported_at': self._now(),
            'peers': self._peers,
        }

    def _write(self, body: StatusBody) -> None:
        version = self._version or self._read_version()
        if version == UNKNOWN_VERSION:
            stored = self._store.create(STATUS_KIND, self._instance, body)
        else:
            stored = self._store.update(
                STATUS_KIND, self._instance, body, version
            )
        self._version = stored.version

    def _read_version(self) -> str:
        try:
            return self._store.read(STATUS_KIND, self._instance).version
        except StoreNotFoundError:
            return UNKNOWN_VERSION
