"""Decides whether a request is taken by a gateway that may be stopping."""

import http
import math

from cactusledge.gateway.answers import refuse
from cactusledge.gateway.context import Call, Outcome, Progress
from cactusledge.gateway.responder import Responder
from cactusledge.gateway.route_durations import RouteDurations
from cactusledge.gateway.stopping import Need, Stopping

DURATION_FACTOR = 1.5  # of the longest recent duration that a request may need
STOP_RETRY_S = 0.2  # another instance serves it
NO_TIME_LEFT = 'stopping, no time left'  # outcome reason
CUT_BY_STOP = 'cut by the stop'  # outcome reason


class Admission:
    """Weighs what a request may need against what is left of the stop."""

    def __init__(self) -> None:
        """Starts before SIGTERM, without any request."""
        self.stopping = Stopping()
        self._durations = RouteDurations()

    def admits(self, call: Call, now_s: float) -> bool:
        """Returns whether a call is served; if so it is in progress."""
        if not self.stopping.admits(self._need_of(call, now_s), now_s):
            return False
        began_s = call.request.received_s
        self._durations.begin(call.progress, call.route.name, began_s)
        return True

    def end(self, progress: Progress, now_s: float) -> None:
        """Takes note that a request is no more in progress."""
        was_sent = bool(progress.contacted or progress.forwarded_to)
        self._durations.end(progress, now_s, counts=was_sent)

    def _need_of(self, call: Call, now_s: float) -> Need:
        if self.stopping.since_s(now_s) is None:
            return Need(call.deadline_s, call.deadline_s)
        longest_s = self._durations.longest_s(call.route.name, now_s)
        likely_s = math.inf if longest_s is None else longest_s
        return Need(call.deadline_s, now_s + likely_s * DURATION_FACTOR)


def refuse_for_stop(conn: Responder) -> Outcome:
    """Refuses a request that has not run, and closes its connection."""
    conn.keeps_alive = False
    return refuse(
        conn, http.HTTPStatus.SERVICE_UNAVAILABLE, NO_TIME_LEFT, STOP_RETRY_S
    )


def cut(conn: Responder, progress: Progress) -> Outcome:
    """Ends a request that the stop leaves no time for, as truly as possible."""
    conn.keeps_alive = False
    if conn.has_head:
        conn.close_incomplete()
        return Outcome(0, CUT_BY_STOP)
    if progress.contacted or progress.forwarded_to:
        return refuse(conn, http.HTTPStatus.BAD_GATEWAY, CUT_BY_STOP)
    return refuse(
        conn, http.HTTPStatus.SERVICE_UNAVAILABLE, CUT_BY_STOP, STOP_RETRY_S
    )
