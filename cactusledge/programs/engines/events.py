"""Notifies owners of engine groups of tool pauses and ends of programs."""

import time
from collections.abc import Callable, Hashable

import msgspec

from cactusledge.errors import CactusledgeError
from cactusledge.peers.client import PeerClient
from cactusledge.peers.messages import ProgramEvent, ProgramEventKind
from cactusledge.programs.calls.tasks import CallTask
from cactusledge.routing.client import DispatcherClient
from cactusledge.routing.pauses import PauseEstimates
from cactusledge.routing.types import GroupKey
from cactusledge.telemetry.logs import get_logger

DEFAULT_PAUSE_S = 1.0

log = get_logger('pauses')


class PauseTimer:
    """Measures a tool pause, also when the call fails."""

    def __init__(self, pauses: PauseEstimates, tool: Hashable) -> None:
        """Starts the clock for a call of `tool`."""
        self._pauses = pauses
        self._tool = tool
        self._started_s = time.monotonic()

    def __enter__(self) -> None:
        """Does nothing, since the clock starts in the constructor."""

    def __exit__(self, *error: object) -> None:
        """Records the duration of the pause."""
        self._pauses.observe(self._tool, time.monotonic() - self._started_s)


class ProgramEventNotifier:
    """Sends pauses and ends of programs to the owners of their engine groups.

    A lost message only costs cache hits or speed.
    """

    def __init__(
        self,
        local: DispatcherClient,
        owner_of: Callable[[GroupKey], PeerClient | None],
        key_of: Callable[[str], GroupKey | None],
    ) -> None:
        """Sets up the notifier.

        Args:
            local: This instance's schedulers.
            owner_of: Returns a group's owner; None means this instance.
            key_of: Returns the group of an engine.
        """
        self._local = local
        self._owner_of = owner_of
        self._key_of = key_of
        self._pauses = PauseEstimates()

    def pause(self, task: CallTask) -> 'PauseTimer':
        """Reports a tool pause; the returned context manager measures it."""
        tool = (task.spec.target, task.spec.operation)
        calls = task.state.calls
        engines = [one.endpoint for one in calls if one.usage.prompt_tokens]
        if engines:
            pause_s = self._pauses.expected_s(tool, DEFAULT_PAUSE_S)
            program_id = task.spec.program_id
            self._notify(
                engines[-1],
                program_id,
                ProgramEventKind.PAUSED,
                pause_s,
            )
        return PauseTimer(self._pauses, tool)

    def notify_ended(self, program_id: str, engine: str) -> None:
        """Reports the end of a program that used an engine."""
        self._notify(engine, program_id, ProgramEventKind.ENDED, 0)

    def _notify(
        self,
        engine: str,
        program_id: str,
        kind: ProgramEventKind,
        pause_s: float,
    ) -> None:
        key = self._key_of(engine)
        if key is None:
            return
        document = msgspec.json.encode((key, pause_s))
        event = ProgramEvent(program_id, kind, document)
        owner = self._owner_of(key)
        if owner is None:
            handle_event(self._local, event)
            return
        try:
            owner.program_event(event)
        except CactusledgeError as exc:
            log.info(
                'Event not delivered to the group owner.', reason=exc.message
            )


def handle_event(queues: DispatcherClient, event: ProgramEvent) -> None:
    """Passes an event to the schedulers of this instance."""
    key, pause_s = msgspec.json.decode(
        event.document,
        type=tuple[GroupKey, float],
    )
    if event.kind is ProgramEventKind.ENDED:
        queues.program_ended(key, event.program_id)
    else:
        queues.program_paused(key, event.program_id, pause_s)
