"""Orders to the engine stand-in: fencing number, model, adapter, role."""

import threading
import time
from collections.abc import Mapping
from typing import Any, NamedTuple


class EngineState(NamedTuple):
    """What the engine serves."""

    model: str
    adapter: str = ''
    version: str = ''
    role: str = 'serve'
    fencing: int = 0


class OrderDesk:
    """Carries out orders; refuses an old fencing number unless told not to."""

    def __init__(
        self,
        state: EngineState,
        *,
        ignore_fencing: bool,
        order_s: float,
    ) -> None:
        """Starts in the given state."""
        self.broken = False  # True accepts orders without an effect
        self.records: list[dict[str, Any]] = []
        self._state = state
        self._ignore_fencing = ignore_fencing
        self._order_s = order_s
        self._lock = threading.Lock()

    @property
    def state(self) -> EngineState:
        """The current state."""
        return self._state

    def carry_out(self, order: Mapping[str, Any]) -> bool:
        """Applies an order; returns False if its number is an old one."""
        fencing = int(order['fencing'])
        with self._lock:
            old = fencing < self._state.fencing
            accepted = self._ignore_fencing or not old
            self.records.append({**order, 'accepted': accepted})
            if accepted and not self._ignore_fencing:
                self._state = self._state._replace(fencing=fencing)
        if accepted and not self.broken:
            time.sleep(self._order_s)
            self._apply(order)
        return accepted

    def _apply(self, order: Mapping[str, Any]) -> None:
        fields = ('model', 'adapter', 'version', 'role')
        changes = {name: order[name] for name in fields if name in order}
        with self._lock:
            self._state = self._state._replace(**changes)
