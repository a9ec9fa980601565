"""Responses of the platform, whatever library they came through."""

from typing import NamedTuple


class Reply(NamedTuple):
    """A complete response."""

    status: int
    body: bytes
    retry_after_s: float | None
