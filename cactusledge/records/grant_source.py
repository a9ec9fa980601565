"""Asks the nearest stores for requests that are limited."""

import structlog

from cactusledge.records.gateway_messages import AskGrant, Granted
from cactusledge.records.links import Link
from cactusledge.records.quota_messages import AskQuota
from cactusledge.records.store_peers import StorePeers

ASK_TIMEOUT_S = 0.06  # the caller waits meanwhile
# Stores asked in turn. A request that a limit refuses may go to another
# endpoint; one that is over a quota is lost.
LIMIT_STORES = 1
QUOTA_STORES = 2

log = structlog.get_logger('records')


class StoreGrants:
    """Implements `gateway.grants.GrantSource`."""

    def __init__(self, peers: StorePeers) -> None:
        """Stores the connections to the stores."""
        self._peers = peers

    async def ask(self, question: AskGrant | AskQuota) -> Granted | None:
        """Returns a store's reply, None without one in time."""
        is_quota = isinstance(question, AskQuota)
        stores = QUOTA_STORES if is_quota else LIMIT_STORES
        for link in self._peers.nearest_first()[:stores]:
            reply = await _ask(link, question)
            if reply is not None:
                return reply
        return None


async def _ask(link: Link, question: AskGrant | AskQuota) -> Granted | None:
    """Returns the store's reply, None without one in time."""
    if not link.is_connected:
        return None
    try:
        reply = await link.call(question, ASK_TIMEOUT_S)
    except (ConnectionError, TimeoutError) as exc:
        log.debug(
            'records: grant not received', store=link.name, error=repr(exc)
        )
        return None
    return reply if isinstance(reply, Granted) else None
