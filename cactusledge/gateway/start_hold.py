"""How long a request waits for what a starting gateway still lacks; pure.

After a loss of power all gateways open their ports within tenths of a second of
the record stores. A request that is refused then comes back later than what it
lacked; one that waits is served. What takes longer is no start but a failure,
and is refused at once with the time to come back.
"""

WINDOW_S = 1.5  # from the opening of the port
DEADLINE_SHARE = 0.25  # the rest is for the request itself
DEFAULT_LIMIT_S = 2.0  # of a request that names no deadline


def hold_s(open_for_s: float, waited_s: float, limit_s: float | None) -> float:
    """Returns the seconds that a request may wait from now on, 0 for none.

    Args:
        open_for_s: Time since the port for callers was opened.
        waited_s: Time since the request was received.
        limit_s: The caller's own limit from the receipt on, if it names one.
    """
    bound_s = DEFAULT_LIMIT_S if limit_s is None else limit_s
    left_s = DEADLINE_SHARE * bound_s - waited_s
    return max(0, min(WINDOW_S - open_for_s, left_s))
