"""The clock of the balancer: Unix time that never steps."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds, anchored once: monotonic, and comparable with the registry's `since_ms`."""

    def __init__(self) -> None:
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def to_loop_time(self, at_us: int) -> float:
        """Return a clock time as the event loop counts it, in seconds."""
        return (at_us - self._offset_us) / 1e6
