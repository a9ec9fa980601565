"""Typed calls to one peer."""

from typing import cast

from cactusledge.peers import messages as msg
from cactusledge.peers.channel import Channel

MS_PER_S = 1000


class PeerClient(Channel):
    """Sends messages to one peer.

    Every method raises PeerUnreachableError if the message was certainly not
    delivered, PeerAnswerLostError if it may have been, and PeerCallError if
    the peer answered with an error.
    """

    def heartbeat(self, message: msg.Heartbeat) -> msg.HeartbeatReply:
        """Sends member updates; returns those that are newer at the peer."""
        return cast(msg.HeartbeatReply, self._call('heartbeat', message))

    def forward_call(self, call: msg.ForwardedCall) -> msg.CallHandle:
        """Forwards a call to its driver; poll the handle for its events."""
        return cast(msg.CallHandle, self._call('forward_call', call))

    def poll_call(
        self,
        call_id: str,
        offset: int,
        wait_ms: int,
    ) -> msg.EventBatch:
        """Waits up to `wait_ms`; returns the events from the offset on."""
        batch = self._call(
            'poll_call',
            call_id,
            offset,
            wait_ms,
            extra_s=wait_ms / MS_PER_S,
        )
        return cast(msg.EventBatch, batch)

    def open_program(self, message: msg.OpenRequest) -> msg.ProgramReply:
        """Opens a program on the peer."""
        return cast(msg.ProgramReply, self._call('open_program', message))

    def end_program(self, message: msg.EndRequest) -> msg.ProgramReply:
        """Ends a program driven by the peer."""
        return cast(msg.ProgramReply, self._call('end_program', message))

    def read_history(self, message: msg.HistoryRequest) -> msg.HistoryReply:
        """Returns a part of a program's history."""
        return cast(msg.HistoryReply, self._call('read_history', message))

    def request_grant(self, message: msg.GrantRequest) -> msg.GrantReply:
        """Returns the grant, or a reply without one after `wait_ms`."""
        extra_s = message.wait_ms / MS_PER_S
        reply = self._call('request_grant', message, extra_s=extra_s)
        return cast(msg.GrantReply, reply)

    def finish_grant(self, message: msg.GrantFinish) -> None:
        """Reports that a grant's call has ended."""
        self._call('finish_grant', message)

    def program_event(self, message: msg.ProgramEvent) -> None:
        """Reports a program's pause or end."""
        self._call('program_event', message)

    def hold_records(self, batch: msg.HeldBatch) -> None:
        """Sends the peer a copy of records not yet stored on the platform."""
        self._call('hold_records', batch)

    def held_records(self, log: str) -> tuple[msg.HeldBatch, ...]:
        """Returns the copies that the peer holds for a log."""
        held = self._call('held_records', log)
        return cast(tuple[msg.HeldBatch, ...], held)

    def drop_held(self, log: str, up_to: int) -> None:
        """Has the peer delete copies up to and including a number."""
        self._call('drop_held', log, up_to)

    def get_config(self, known_generation: int) -> msg.ConfigReply:
        """Returns the peer's configuration if newer than the known one."""
        reply = self._call('get_config', known_generation)
        return cast(msg.ConfigReply, reply)
