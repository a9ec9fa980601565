"""How long a request waits for what a starting gateway still lacks; pure.

A starting gateway lacks the lists and the stores for some tenths of a second; a
refused request would come back later than that. A longer lack is a failure, and
the request is refused with the time to come back.
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
