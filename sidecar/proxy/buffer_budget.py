"""Bounds the memory that the data of all client connections takes together."""

from __future__ import annotations

from collections.abc import Hashable

PRESSURE_READ_BYTES = 4 * 1024  # what a connection reads at once while memory is short; most requests fit
_BYTES_PER_MB = 1024 * 1024
_PROGRAM_MB = 24  # what the process needs before it has any connections
_MIN_DATA_MB = 4  # the memory for data where the limit leaves less
# How many bytes each buffered byte may take for a while: a request is copied when it is complete and when it
# is encoded for a server, and buffers grow in steps.
_MAX_COPIES = 4


class BufferBudget:
    """Counts the bytes that each connection buffers, against a common limit.

    Attributes:
        max_bytes: The limit.
        used_bytes: What all connections buffer.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._by_holder: dict[Hashable, int] = {}

    @classmethod
    def for_memory_limit(cls, memory_mb: float) -> BufferBudget:
        """Return the budget of a process whose memory is limited to this number of MiB."""
        data_mb = max(memory_mb - _PROGRAM_MB, _MIN_DATA_MB)
        return cls(int(data_mb * _BYTES_PER_MB / _MAX_COPIES))

    def record(self, holder: Hashable, byte_count: int) -> None:
        """Set how many bytes a connection buffers."""
        self.used_bytes += byte_count - self._by_holder.pop(holder, 0)
        if byte_count:
            self._by_holder[holder] = byte_count

    def bytes_of(self, holder: Hashable) -> int:
        """Return how many bytes a connection buffers."""
        return self._by_holder.get(holder, 0)

    def is_exceeded(self) -> bool:
        """Return whether the connections buffer more than the limit."""
        return self.used_bytes > self.max_bytes
