"""Decides which logs an instance should take over; free of side effects."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

INITIAL_BACKOFF_S = 4.0
MAX_BACKOFF_S = 120.0
# Heartbeat intervals after which a peer's latest takeover is known here.
CLAIM_DELAY_HEARTBEATS = 2
SEED_WAIT_S = 3.0  # time for the seeds to answer after a start

ChooseInstance = Callable[[str, Sequence[str]], str | None]


class InstanceView(NamedTuple):
    """Membership data of an instance."""

    name: str
    data_centre: str
    takes_work: bool  # neither starting nor leaving
    logs: tuple[str, ...]  # logs that it reports as its own


class ClaimBackoff(NamedTuple):
    """Delay before this instance reclaims a log that it lost."""

    losses: int  # how often another instance sealed the log
    not_before_s: float  # monotonic time of the earliest claim


class ClaimGate:
    """Decides when an instance knows its peers well enough to claim logs.

    A peer may have taken a log over before it discovered this instance, and
    reports that with its next heartbeats. If this instance sealed the log
    before it heard of that, the outcomes of the peer's running calls could no
    longer be recorded.
    """

    def __init__(self, interval_s: float, *, has_seeds: bool) -> None:
        """Creates a closed gate.

        Args:
            interval_s: Time between heartbeats.
            has_seeds: Whether seeds are configured, so that other instances
                are expected.
        """
        self._peers_wait_s = CLAIM_DELAY_HEARTBEATS * interval_s
        self._seeds_wait_s = SEED_WAIT_S if has_seeds else 0
        self._accepting_since_s: float | None = None

    def is_open(self, now_s: float, *, accepts: bool, has_peers: bool) -> bool:
        """Returns whether logs may be claimed; call this regularly.

        Args:
            now_s: Monotonic time.
            accepts: Whether this instance is ready to drive programs.
            has_peers: Whether other instances are considered alive.
        """
        if not accepts:
            self._accepting_since_s = None
            return False
        if self._accepting_since_s is None:
            self._accepting_since_s = now_s
        wait_s = self._peers_wait_s if has_peers else self._seeds_wait_s
        return now_s - self._accepting_since_s >= wait_s


def logs_to_claim(
    me: InstanceView,
    others: Iterable[InstanceView],
    logs: Sequence[str],
    backoffs: Mapping[str, ClaimBackoff],
    now_s: float,
    choose: ChooseInstance,
) -> tuple[str, ...]:
    """Returns the logs of this data centre that this instance should seal.

    Logs that a live instance reports as its own are skipped. A log without an
    owner goes to the instance chosen by rendezvous hashing, so two instances
    rarely claim it at the same time; if they do, the conditional writes of
    the platform let one of them win.
    """
    if not me.takes_work:
        return ()
    alive = [view for view in others if view.data_centre == me.data_centre]
    owned = {log for view in alive for log in view.logs}
    candidates = [view.name for view in alive if view.takes_work]
    return tuple(
        log
        for log in logs
        if log not in owned
        and log not in me.logs
        and choose(log, [me.name, *candidates]) == me.name
        and now_s >= backoffs.get(log, ClaimBackoff(0, 0)).not_before_s
    )


def next_backoff(
    backoffs: Mapping[str, ClaimBackoff], log: str, now_s: float
) -> ClaimBackoff:
    """Returns the backoff for a log that was just lost.

    Without it, two instances that cannot reach each other would keep taking
    the log over from each other.
    """
    losses = backoffs.get(log, ClaimBackoff(0, 0)).losses + 1
    wait_s = min(INITIAL_BACKOFF_S * 2 ** (losses - 1), MAX_BACKOFF_S)
    return ClaimBackoff(losses, now_s + wait_s)
