"""Monitors event loop lag: logs it, and reports when the event loop first runs on time after the start."""

from __future__ import annotations

import asyncio
import logging

log = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 0.25
_LAG_WARNING_S = 0.05  # larger lag is logged, and does not count as on time
# The event loop counts as settled after this time in any case: a start may take at most 10 s, and a machine
# that always lags must serve requests all the same.
SETTLED_AFTER_S = 2.0


class LoopLagMonitor:
    """Checks the lag of the running event loop at regular intervals.

    The platform may throttle this program after the start because of the CPU time that starting took.
    Readiness waits until that is over, as most requests of clients that come earlier would be late.

    Attributes:
        has_settled: Whether a check has found the event loop on time, or `SETTLED_AFTER_S` have passed.
    """

    def __init__(self) -> None:
        self.has_settled = False
        self._check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the checks, and the timer after which the event loop counts as settled."""
        loop = asyncio.get_running_loop()
        self._check_task = loop.create_task(self._check_forever())
        loop.call_later(SETTLED_AFTER_S, self.mark_settled)

    def stop(self) -> None:
        """Stop the checks."""
        if self._check_task is not None:
            self._check_task.cancel()

    def mark_settled(self) -> None:
        """Record that the event loop has settled."""
        self.has_settled = True

    async def _check_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + _CHECK_INTERVAL_S
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._record_lag(loop.time() - due)

    def _record_lag(self, lag_s: float) -> None:
        if lag_s > _LAG_WARNING_S:
            log.warning(
                "the event loop was %.0f ms late (warning threshold: %.0f ms)",
                lag_s * 1000,
                _LAG_WARNING_S * 1000,
            )
        else:
            self.mark_settled()
