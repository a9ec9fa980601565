"""Interface of an instance for the messages of its peers."""

from typing import Protocol

from cactusledge.peers import messages as msg


class PeerHandler(Protocol):
    """Handles the messages of peers; each call runs in a server thread.

    A CactusledgeError raised by a method is sent to the peer as the answer.
    """

    def heartbeat(self, message: msg.Heartbeat) -> msg.HeartbeatReply:
        """Merges the sender's views and returns newer ones."""

    def forward_call(self, call: msg.ForwardedCall) -> msg.CallHandle:
        """Starts a call, or joins it if it was forwarded before."""

    def poll_call(
        self,
        call_id: str,
        offset: int,
        wait_ms: int,
    ) -> msg.EventBatch:
        """Waits for events from the offset on; an offset may be read again."""

    def open_program(self, message: msg.OpenRequest) -> msg.ProgramReply:
        """Opens a program that this instance will drive."""

    def end_program(self, message: msg.EndRequest) -> msg.ProgramReply:
        """Ends a program driven by this instance."""

    def read_history(self, message: msg.HistoryRequest) -> msg.HistoryReply:
        """Returns a part of a program's history."""

    def request_grant(self, message: msg.GrantRequest) -> msg.GrantReply:
        """Waits up to `wait_ms` for an endpoint for the job."""

    def finish_grant(self, message: msg.GrantFinish) -> None:
        """Records that a grant's call has ended."""

    def program_event(self, message: msg.ProgramEvent) -> None:
        """Records a program's pause or end."""

    def hold_records(self, batch: msg.HeldBatch) -> None:
        """Stores a copy of records not yet stored on the platform."""

    def held_records(self, log: str) -> tuple[msg.HeldBatch, ...]:
        """Returns the copies held for a log, ordered by number."""

    def drop_held(self, log: str, up_to: int) -> None:
        """Deletes a log's copies up to and including a number."""

    def get_config(self, known_generation: int) -> msg.ConfigReply:
        """Returns the configuration if it is newer than the known one."""
