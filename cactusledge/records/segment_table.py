"""What the segment files of a log hold, and which of them may go; no I/O."""

from collections.abc import Iterable

from cactusledge.records.segment import HEADER


class SegmentUse:
    """The bytes of one segment, and how many of them are still needed."""

    __slots__ = ('live_bytes', 'live_entries', 'name', 'size')

    def __init__(self, name: str) -> None:
        """Starts empty."""
        self.name = name  # of the file
        self.size = 0  # bytes
        self.live_bytes = 0
        self.live_entries = 0

    @property
    def dead_bytes(self) -> int:
        """The bytes that are no longer needed."""
        return self.size - self.live_bytes

    def hold(self, size: int) -> None:
        """Adds an entry that is needed."""
        self.live_bytes += HEADER.size + size
        self.live_entries += 1

    def release(self, size: int) -> None:
        """Removes an entry that is no longer needed."""
        self.live_bytes -= HEADER.size + size
        self.live_entries -= 1


class SegmentTable:
    """All segments of a log, the oldest first."""

    def __init__(self) -> None:
        """Starts without segments."""
        self._segments: dict[str, SegmentUse] = {}

    @property
    def total_bytes(self) -> int:
        """The bytes of all segments."""
        return sum(segment.size for segment in self._segments.values())

    @property
    def live_bytes(self) -> int:
        """The bytes that are still needed."""
        return sum(segment.live_bytes for segment in self._segments.values())

    def grow(self, name: str, end: int) -> SegmentUse:
        """Notes that a segment has been written up to an offset."""
        segment = self._segments.get(name)
        if segment is None:
            segment = SegmentUse(name)
            self._segments[name] = segment
        segment.size = max(segment.size, end)
        return segment

    def take_unused(self) -> list[str]:
        """Removes and returns the segments that nothing needs.

        The youngest may still be written.
        """
        unused = [
            name for name, segment in self._closed() if not segment.live_entries
        ]
        for name in unused:
            self._segments.pop(name)
        return unused

    def sparsest(self) -> SegmentUse | None:
        """Returns the closed segment with the most bytes not needed."""
        closed = [segment for _, segment in self._closed()]
        return max(closed, key=lambda one: one.dead_bytes, default=None)

    def _closed(self) -> Iterable[tuple[str, SegmentUse]]:
        return list(self._segments.items())[:-1]
