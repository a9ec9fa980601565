"""Passes what other gateways have of the configuration to its news."""

import asyncio

from cactusledge.gateway.configuration_news import ConfigurationNews
from cactusledge.models import Address
from cactusledge.records.gateway_messages import KnownVersion


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
        self._news.hear(known, asyncio.get_running_loop().time())
