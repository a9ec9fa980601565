"""Which logs an instance should take over; pure."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

INITIAL_BACK_OFF_S = 4.0
MAX_BACK_OFF_S = 120.0
CLAIM_DELAY_HEARTBEATS = 2  # until a peer's latest takeover is known here
SEED_WAIT_S = 3.0  # for the first answers of the seeds

ChooseInstance = Callable[[str, Sequence[str]], str | None]


class InstanceView(NamedTuple):
    """An instance as membership sees it."""

    name: str
    data_centre: str
    takes_work: bool  # neither leaving nor still starting
    logs: tuple[str, ...]  # that it says it owns


class ClaimBackOff(NamedTuple):
    """A log that another instance sealed while this one owned it."""

    losses: int
    not_before_s: float  # this instance does not claim the log before


class ClaimGate:
    """Tells when an instance knows enough of its peers to claim logs.

    A peer that took a log over before it saw this instance says so with its
    next heartbeats; taken from it at once, its calls would lose their record.
    """

    def __init__(self, interval_s: float, *, has_seeds: bool) -> None:
        """Starts shut.

        Args:
            interval_s: Time between heartbeats.
            has_seeds: Whether there should be other instances.
        """
        self._peers_wait_s = CLAIM_DELAY_HEARTBEATS * interval_s
        self._seeds_wait_s = SEED_WAIT_S if has_seeds else 0
        self._accepting_since_s: float | None = None

    def is_open(self, now_s: float, *, accepts: bool, has_peers: bool) -> bool:
        """Returns whether logs may be claimed; to be asked regularly.

        Args:
            now_s: Monotonic time.
            accepts: Whether this instance can drive programs at all.
            has_peers: Whether other instances are believed alive.
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
    back_offs: Mapping[str, ClaimBackOff],
    now_s: float,
    choose: ChooseInstance,
) -> tuple[str, ...]:
    """Returns the logs of this data centre that this instance should seal.

    A log that a live instance says it owns is left alone. One without an
    owner goes to the instance that rendezvous hashing names, so that two
    instances seldom try at once; if they do, the platform lets one win.
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
        and now_s >= back_offs.get(log, ClaimBackOff(0, 0)).not_before_s
    )


def next_back_off(
    back_offs: Mapping[str, ClaimBackOff], log: str, now_s: float
) -> ClaimBackOff:
    """Returns how long to leave a log alone after losing it.

    Two instances that do not see each other would otherwise take it from
    each other without end.
    """
    losses = back_offs.get(log, ClaimBackOff(0, 0)).losses + 1
    wait_s = min(INITIAL_BACK_OFF_S * 2 ** (losses - 1), MAX_BACK_OFF_S)
    return ClaimBackOff(losses, now_s + wait_s)
