"""Holds the attempts of one call to the limits that endpoints name."""

import asyncio

from cactusledge.gateway.endpoint_limits import Admission, EndpointLimits
from cactusledge.gateway.grants import GrantSource
from cactusledge.gateway.messages import Replica


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
