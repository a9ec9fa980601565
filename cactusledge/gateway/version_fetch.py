"""Fetches newer versions of the configuration from other gateways.

While the platform turns this gateway away, another one has what is in force.
"""

import asyncio
from collections.abc import Awaitable, Callable

from cactusledge.gateway.clock import next_tick
from cactusledge.gateway.configuration_news import ConfigurationNews
from cactusledge.models import Address
from cactusledge.records.entries import Member
from cactusledge.records.peers import address_of
from cactusledge.telemetry.metrics import Metrics

CHECK_INTERVAL_S = 0.1
RETRY_PAUSE_S = 0.25  # after holders that did not help
FETCHED, FAILED = 'fetched', 'failed'  # label values

Ask = Callable[[Address], Awaitable[None]]


class VersionFetch:
    """Asks the gateways that have a newer version, one at a time."""

    def __init__(
        self, news: ConfigurationNews, ask: Ask, metrics: Metrics
    ) -> None:
        """Stores the news and what asks a gateway and applies its reply."""
        self._news = news
        self._ask = ask
        self._metrics = metrics

    async def run(self) -> None:
        """Fetches what is due until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            has_failed = await self.step(loop.time())
            if has_failed:
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await next_tick(CHECK_INTERVAL_S)

    async def step(self, now_s: float) -> bool:
        """Asks holders of a newer version until this gateway has it.

        Returns whether all holders were asked in vain.
        """
        holders = self._news.holders_due(now_s)
        for holder in holders:
            if not self._news.is_behind:
                return False
            version = self._news.version
            await self._ask(address_of(Member(holder, '')))
            has_newer = self._news.version > version
            self._metrics.add(
                'gateway_configuration_fetches_total',
                result=FETCHED if has_newer else FAILED,
            )
        return bool(holders) and self._news.is_behind
