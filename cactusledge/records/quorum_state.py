"""Since when an instance has lost its quorum, and whether it ever had one."""

import time

import structlog

log = structlog.get_logger('records')


class QuorumState:
    """The time of a lost quorum; `update` has to be called regularly."""

    def __init__(self) -> None:
        """Starts as if there were a quorum, so that the first loss counts."""
        self.was_connected = False  # a quorum has been in reach
        self._lost_at_s: float | None = None

    @property
    def lost_for_s(self) -> float:
        """Seconds since the update that saw the loss, 0 without a loss."""
        since_s = self._lost_at_s
        return 0 if since_s is None else time.monotonic() - since_s

    def update(self, *, has_quorum: bool) -> None:
        """Takes whether a quorum is in reach now."""
        if has_quorum:
            self.was_connected = True
            self._lost_at_s = None
        elif self._lost_at_s is None:
            self._lost_at_s = time.monotonic()
            log.warning('records: quorum lost')
