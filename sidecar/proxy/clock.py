"""The clock of the balancer: Unix time without the steps of the wall clock."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds, read once and then advanced by the monotonic clock.

    It never steps, and is comparable with the registry's `since_ms`.
    """

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def to_loop_time(self, at_us: int) -> float:
        """Convert a time of this clock, in microseconds, to event loop time in seconds."""
        return (at_us - self._offset_us) / 1e6
