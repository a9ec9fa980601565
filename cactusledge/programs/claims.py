"""Which logs an instance should take over; pure."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

FIRST_BACK_OFF_S = 4.0
LONGEST_BACK_OFF_S = 120.0
SETTLED_INTERVALS = 2  # until a peer's latest takeover is known here
ALONE_S = 3.0  # for the first answers of the seeds

Choose = Callable[[str, Sequence[str]], str | None]


class InstanceView(NamedTuple):
    """An instance as membership sees it."""

    name: str
    data_centre: str
    takes_work: bool  # neither leaving nor still starting
    logs: tuple[str, ...]  # that it says it owns


class Fence(NamedTuple):
    """A log that another instance sealed while this one owned it."""

    times: int
    until_s: float  # this instance does not claim the log before


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
        self._settled_s = SETTLED_INTERVALS * interval_s
        self._alone_s = ALONE_S if has_seeds else 0
        self._since_s: float | None = None

    def is_open(self, now_s: float, *, accepts: bool, has_peers: bool) -> bool:
        """Returns whether logs may be claimed; to be asked regularly.

        Args:
            now_s: Monotonic time.
            accepts: Whether this instance can drive programs at all.
            has_peers: Whether other instances are believed alive.
        """
        if not accepts:
            self._since_s = None
            return False
        if self._since_s is None:
            self._since_s = now_s
        wait_s = self._settled_s if has_peers else self._alone_s
        return now_s - self._since_s >= wait_s


def wanted_logs(
    me: InstanceView,
    others: Iterable[InstanceView],
    logs: Sequence[str],
    fences: Mapping[str, Fence],
    now_s: float,
    choose: Choose,
) -> tuple[str, ...]:
    """Returns the logs of this data centre that this instance should seal.

    A log that a live instance says it owns is left alone. One without an
    owner goes to the instance that rendezvous hashing names, so that two
    instances seldom try at once; if they do, the platform lets one win.
    """
    if not me.takes_work:
        return ()
    alive = [view for view in others if view.data_centre == me.data_centre]
    taken = {log for view in alive for log in view.logs}
    candidates = [view.name for view in alive if view.takes_work]
    return tuple(
        log
        for log in logs
        if log not in taken
        and log not in me.logs
        and choose(log, [me.name, *candidates]) == me.name
        and now_s >= fences.get(log, Fence(0, 0)).until_s
    )


def fenced(fences: Mapping[str, Fence], log: str, now_s: float) -> Fence:
    """Returns how long to leave a log alone after losing it.

    Two instances that do not see each other would otherwise take it from
    each other without end.
    """
    times = fences.get(log, Fence(0, 0)).times + 1
    wait_s = min(FIRST_BACK_OFF_S * 2 ** (times - 1), LONGEST_BACK_OFF_S)
    return Fence(times, now_s + wait_s)
