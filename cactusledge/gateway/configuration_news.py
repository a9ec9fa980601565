"""Tells whether this gateway's configuration may be outdated.

A gateway learns of a newer version from the other gateways, by way of the
stores, also while the platform turns it away.
"""

import math

from cactusledge.gateway.clock import now
from cactusledge.models import Address
from cactusledge.records.gateway_messages import KnownVersion

FAILING_LIMIT_S = 1.0  # of the watch, until a newer version may be in force
FETCH_WAIT_S = 0.3  # in which the own watch normally brings a version


class ConfigurationNews:
    """The version in force here, and what is known of newer ones."""

    def __init__(self) -> None:
        """Starts without a configuration and without news.

        Until the watch has listed, a configuration is another gateway's.
        """
        self.version = 0  # in force here, 0 without one
        self._heard = KnownVersion()
        self._behind_since_s: float | None = None
        self._failing_since_s: float | None = -math.inf

    @property
    def is_behind(self) -> bool:
        """Whether another gateway has a newer version."""
        return self._heard.version > self.version

    def note_applied(self, version: int) -> None:
        """Takes note that a version is in force here.

        If there is a newer one, the wait for it begins with the next report.
        """
        self.version = version
        self._behind_since_s = None

    def note_watch(self, failing_since_s: float | None) -> None:
        """Takes note since when the watch of the platform has failed."""
        self._failing_since_s = failing_since_s

    def hear(self, known: KnownVersion, now_s: float) -> None:
        """Takes note of the newest version that other gateways have."""
        self._heard = known
        if not self.is_behind:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = now_s

    def is_current(self, now_s: float) -> bool:
        """Returns whether the version here is certainly the newest."""
        since_s = self._failing_since_s
        is_failing = since_s is not None and now_s - since_s > FAILING_LIMIT_S
        return not self.is_behind and not is_failing

    def holders_due(self, now_s: float) -> tuple[str, ...]:
        """Returns gateways to fetch the newest version from, if it is time.

        A gateway that has no configuration yet gets it by its bootstrap.
        """
        since_s = self._behind_since_s
        if since_s is None or now_s - since_s < FETCH_WAIT_S:
            return ()
        return self._heard.holders if self.version else ()


class VersionReports:
    """Implements `records.load_exchange.VersionTracker`."""

    def __init__(self, news: ConfigurationNews, peers: Address) -> None:
        """Stores the news, and where this gateway takes peers' messages."""
        self._news = news
        self._holders = (str(peers),)

    def to_report(self) -> KnownVersion:
        """Returns the version in force here."""
        version = self._news.version
        return KnownVersion(version, self._holders if version else ())

    def add_reported(self, known: KnownVersion) -> None:
        """Adds the newest version that any gateway has."""
        self._news.hear(known, now())
