"""Asks the nearest store for requests to endpoints that name a limit."""

import structlog

from cactusledge.records.gateway_messages import AskGrant, Granted
from cactusledge.records.store_peers import StorePeers

ASK_TIMEOUT_S = 0.06  # the caller waits meanwhile

log = structlog.get_logger('records')


class StoreGrants:
    """Implements `gateway.rationing.GrantSource`."""

    def __init__(self, peers: StorePeers) -> None:
        """Stores the connections to the stores."""
        self._peers = peers

    async def ask(self, question: AskGrant) -> Granted | None:
        """Returns the store's reply, None without one in time."""
        nearest = next(iter(self._peers.nearest_first()), None)
        if nearest is None or not nearest.is_connected:
            return None
        try:
            reply = await nearest.call(question, ASK_TIMEOUT_S)
        except (ConnectionError, TimeoutError) as exc:
            log.debug(
                'records: grant not received',
                store=nearest.name,
                error=repr(exc),
            )
            return None
        return reply if isinstance(reply, Granted) else None
