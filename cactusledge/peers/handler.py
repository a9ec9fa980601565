"""What an instance answers to its peers."""

from typing import Protocol

from cactusledge.peers import messages as msg


class PeerHandler(Protocol):
    """Handles the messages of peers; each call runs in a server thread.

    A CactusledgeError that a method raises reaches the peer as such.
    """

    def heartbeat(self, message: msg.Heartbeat) -> msg.HeartbeatReply:
        """Merges the sender's views and returns what the sender lacks."""

    def forward_call(self, call: msg.ForwardedCall) -> msg.CallHandle:
        """Starts a call, or joins it if it was forwarded before."""

    def poll_call(
        self,
        call_id: str,
        offset: int,
        wait_ms: int,
    ) -> msg.EventBatch:
        """Waits for events from the offset on; the same offset may recur."""

    def open_program(self, message: msg.OpenRequest) -> msg.ProgramReply:
        """Opens a program that this instance is to drive."""

    def end_program(self, message: msg.EndRequest) -> msg.ProgramReply:
        """Ends a program that this instance drives."""

    def read_history(self, message: msg.HistoryRequest) -> msg.HistoryReply:
        """Returns a part of a program's history."""

    def request_grant(self, message: msg.GrantRequest) -> msg.GrantReply:
        """Waits for an endpoint for the job, at most for `wait_ms`."""

    def finish_grant(self, message: msg.GrantFinish) -> None:
        """Takes note that a grant's call has ended."""

    def program_event(self, message: msg.ProgramEvent) -> None:
        """Takes note of a program's pause or end."""

    def hold_records(self, batch: msg.HeldBatch) -> None:
        """Keeps a copy of records that wait for the platform."""

    def held_records(self, log: str) -> tuple[msg.HeldBatch, ...]:
        """Returns the copies held for a log, in the order of numbers."""

    def drop_held(self, log: str, up_to: int) -> None:
        """Drops the copies up to and including a number."""

    def get_config(self, known_generation: int) -> msg.ConfigReply:
        """Returns the configuration if it is newer than the one known."""
