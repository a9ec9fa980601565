"""Notes what endpoints say of themselves in the heads of their answers."""

from cactusledge.gateway.departure_reports import DepartureReports
from cactusledge.gateway.limit_reports import LimitReports
from cactusledge.gateway.messages import EndpointAnswer, Replica


class AnswerNotes:
    """Passes each head on to those that keep what it says."""

    def __init__(
        self, departures: DepartureReports, limits: LimitReports
    ) -> None:
        """Stores who keeps departures and limits."""
        self._departures = departures
        self._limits = limits

    def note(self, replica: Replica, answer: EndpointAnswer) -> None:
        """Notes a departure and a limit."""
        if answer.is_leaving:
            self._departures.note(replica)
        self._limits.note(replica, answer)
