"""Carries out a gateway's stop: ends what is in progress, then the rest."""

import asyncio
from collections.abc import Callable, Collection, Mapping

import structlog

from cactusledge.gateway.gateway import Gateway
from cactusledge.gateway.http_server import Activity, ServerConnection

POLL_S = 0.02
LAST_WORK_S = 0.4  # of the margin: to settle what was cut, and to send answers
HALF_READ = Activity(is_serving=False, is_reading=True, is_sending=False)

log = structlog.get_logger('gateway')


class Drain:
    """Ends the requests and the connections of a gateway."""

    def __init__(
        self,
        gateway: Gateway,
        settling: Collection[object],
        stop_listening: Callable[[], None],
    ) -> None:
        """Stores the gateway.

        Args:
            gateway: Its stop has begun.
            settling: Tasks that tell the stores what incomplete turns spent.
            stop_listening: Closes the port for callers; may be called twice.
        """
        self._gateway = gateway
        self._settling = settling
        self._stop_listening = stop_listening
        self._half_read: set[ServerConnection] = set()  # as CLOSING begins

    async def run(self) -> None:
        """Returns once the process may exit."""
        stopping = self._gateway.admission.stopping
        loop = asyncio.get_running_loop()
        self._note('gateway: stopping')
        await asyncio.sleep(stopping.closing_s - loop.time())
        self._begin_closing()
        while not stopping.is_over(loop.time(), is_busy=self._is_busy()):
            await asyncio.sleep(POLL_S)
            self._close_connections()
        stopping.end()
        self._note('gateway: stopped')
        await self._end()

    def _begin_closing(self) -> None:
        gateway = self._gateway
        gateway.is_closing = True
        now_s = asyncio.get_running_loop().time()
        self._half_read = self._half_read_now()
        if self._half_read:
            timeout_s = gateway.limits.header_timeout_ms / 1000
            gateway.admission.stopping.wait_until(now_s + timeout_s)
        if not gateway.admission.stopping.rules(now_s).accepts_connections:
            self._stop_listening()
        self._note('gateway: stopping')
        self._close_connections()

    def _close_connections(self) -> None:
        for conn in tuple(self._gateway.connections):
            conn.close_after_response()

    def _half_read_now(self) -> set[ServerConnection]:
        return {
            conn
            for conn in self._gateway.connections
            if conn.activity == HALF_READ
        }

    def _is_busy(self) -> bool:
        """Returns whether anything is left that the stop waits for."""
        self._half_read &= self._half_read_now()
        return bool(self._half_read) or any(
            conn.activity.is_serving or conn.activity.is_sending
            for conn in self._gateway.connections
        )

    async def _end(self) -> None:
        """Ends what is left; half-read requests may still be refused."""
        loop = asyncio.get_running_loop()
        self._stop_listening()
        for conn in tuple(self._gateway.connections):
            conn.cut()
        ends_s = loop.time() + LAST_WORK_S
        while self._has_last_work() and loop.time() < ends_s:
            await asyncio.sleep(POLL_S)
            self._close_connections()
        for conn in tuple(self._half_read_now()):
            conn.refuse_half_read()

    def _has_last_work(self) -> bool:
        return bool(self._gateway.connections or self._settling)

    def _note(self, event: str) -> None:
        """Logs the state that begins, with the counts at its beginning."""
        now_s = asyncio.get_running_loop().time()
        stopping = self._gateway.admission.stopping
        log.info(
            event,
            state=str(stopping.state(now_s)),
            stopping_s=stopping.since_s(now_s),
            **counts_of(self._gateway.connections),
        )


def counts_of(conns: Collection[ServerConnection]) -> Mapping[str, int]:
    """Returns how many connections there are, by what is in progress."""
    active = [conn.activity for conn in conns]
    return {
        'connections': len(active),
        'requests': sum(one.is_serving for one in active),
        'half_read': sum(one.is_reading for one in active),
    }
