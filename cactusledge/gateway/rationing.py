"""Holds the attempts of one call to the limits that endpoints name."""

import asyncio
from typing import Protocol

from cactusledge.gateway.endpoint_limits import Admission, EndpointLimits
from cactusledge.gateway.messages import Replica
from cactusledge.records.gateway_messages import AskGrant, Granted
from cactusledge.records.quota_messages import AskQuota


class GrantSource(Protocol):
    """Asks a store for requests that a limit or a quota may not allow."""

    async def ask(self, question: AskGrant | AskQuota) -> Granted | None:
        """Returns the store's reply, None without one in time."""


class NoGrants:
    """The source of a gateway without stores."""

    async def ask(self, question: AskGrant | AskQuota) -> Granted | None:
        """Gets no reply."""


class Rationing:
    """The endpoints whose limit leaves no request for a call."""

    def __init__(self, limits: EndpointLimits, source: GrantSource) -> None:
        """Starts before the first attempt."""
        self.excluded: set[str] = set()  # endpoint ids, in the current pass
        self._limits = limits
        self._source = source
        self._demanded: set[str] = set()  # endpoint ids

    async def admit(self, replica: Replica) -> bool:
        """Returns whether the call may be sent to the endpoint.

        However often it asks, it counts once to the demand.
        """
        loop = asyncio.get_running_loop()
        is_new = replica.endpoint_id not in self._demanded
        self._demanded.add(replica.endpoint_id)
        admission = self._limits.admit(replica, loop.time(), is_new=is_new)
        if admission is Admission.ASK:
            question = self._limits.question(replica, loop.time())
            reply = await self._source.ask(question)
            is_granted = self._limits.add_reply(replica, reply, loop.time())
        else:
            is_granted = admission is Admission.FREE
        if not is_granted:
            self.excluded.add(replica.endpoint_id)
        return is_granted
