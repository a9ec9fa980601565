"""How long an endpoint may stay silent before its answer counts as lost.

The pattern: an endpoint runs a call and its answer never arrives, while its
connection stays open. A call that may be repeated goes to another endpoint as
long as that one can still answer in time.
"""

TARGETS = 4  # latency targets that a healthy endpoint may need
LATENCIES = 20  # times its recent latency, which grows with its load
REMAINING_SHARE = 0.5  # of the call's time; the rest is for another endpoint


def silence_limit_s(
    target_latency_ms: float, latency_ms: float, remaining_ms: float
) -> float | None:
    """Returns the time without any data after which to try elsewhere.

    None if too little time would be left for another endpoint.

    Args:
        target_latency_ms: The route's latency target.
        latency_ms: The endpoint's recent latency per unit of work.
        remaining_ms: Time left until the call's deadline.
    """
    usual_ms = max(TARGETS * target_latency_ms, LATENCIES * latency_ms)
    if usual_ms > REMAINING_SHARE * remaining_ms:
        return None
    return usual_ms / 1000
