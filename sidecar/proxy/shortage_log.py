"""Logs shortages of memory for data, so that a process near its limit tells why."""

from __future__ import annotations

import asyncio
import logging

from sidecar.proxy.buffer_budget import BufferBudget
from sidecar.proxy.memory_layout import MIB, resident_bytes

log = logging.getLogger(__name__)

_LOG_INTERVAL_S = 1.0


class ShortageLog:
    """Logs when memory for data gets short, and after each shortage what it did, at most once a second.

    Attributes:
        rejected_requests: Count of incomplete requests that were rejected since the last line.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.rejected_requests = 0
        self._budget = budget
        self._began_at: float | None = None
        self._next_line_at = 0.0

    def begin(self) -> None:
        """Record that connections wait for memory; has no effect during a shortage."""
        if self._began_at is not None:
            return
        self._began_at = now = asyncio.get_running_loop().time()
        if now >= self._next_line_at:
            self._next_line_at = now + _LOG_INTERVAL_S
            log.warning("short of memory for data: %s", self._describe())

    def end(self) -> None:
        """Record that no connection waits any more."""
        began_at, self._began_at = self._began_at, None
        now = asyncio.get_running_loop().time()
        if began_at is None or now < self._next_line_at:
            return
        self._next_line_at = now + _LOG_INTERVAL_S
        log.warning(
            "memory for data is free again after %.2f s, %d incomplete requests rejected: %s",
            now - began_at,
            self.rejected_requests,
            self._describe(),
        )
        self.rejected_requests = 0

    def _describe(self) -> str:
        budget = self._budget
        return (
            f"{budget.used_bytes} of {budget.pool_bytes} bytes used, {resident_bytes() // MIB} MiB resident"
        )
