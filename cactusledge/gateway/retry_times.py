"""When callers may return that were refused for a missing quorum; pure.

Two failures look the same to an instance without a quorum. If its data centre
is cut off, its callers reach others once the balancer has noticed, and would
only be refused again before. If all instances have just restarted, the
connections to the record stores are back within a fraction of a second, and a
caller that waits for the balancer returns too late.
"""

BALANCER_FAILOVER_S = 2.2  # for the balancer to switch to other instances
CONNECT_RETRY_S = 0.4  # for a starting instance to connect to the stores
UNSURE_RETRY_S = 0.25  # for the record stores to answer again
NO_ROOM_RETRY_S = 5.0  # for old records to leave the stores


def quorum_retry_s(lost_for_s: float, *, was_connected: bool) -> float:
    """Returns the seconds until a caller should try again.

    Args:
        lost_for_s: Time since the quorum was lost.
        was_connected: Whether this process ever had a quorum.
    """
    if not was_connected:
        return CONNECT_RETRY_S
    return max(UNSURE_RETRY_S, BALANCER_FAILOVER_S - lost_for_s)
