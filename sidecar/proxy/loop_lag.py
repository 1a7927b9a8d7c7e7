"""Event loop lag: logs it, and reports from when on the event loop runs on time."""

from __future__ import annotations

import asyncio
import logging

log = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 0.25
_LAG_WARNING_S = 0.05  # lag from which on a check logs it, and does not count as on time
# On time by then in any case: of the 10 s that a start may take, and a machine that always lags serves better
# late than never.
SETTLED_AFTER_S = 2.0


class LoopLagMonitor:
    """Checks the lag of the running event loop at regular intervals.

    Attributes:
        has_settled: Whether the event loop has been on time since the start.

    Guards clients that come while the platform still throttles this program for the CPU that it spent on
    starting: their requests would wait that out, and most be late.
    """

    def __init__(self) -> None:
        self.has_settled = False
        self._check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the checks, and the time after which the event loop counts as on time."""
        loop = asyncio.get_running_loop()
        self._check_task = loop.create_task(self._check_forever())
        loop.call_later(SETTLED_AFTER_S, self.mark_settled)

    def stop(self) -> None:
        """Stop the checks."""
        if self._check_task is not None:
            self._check_task.cancel()

    def mark_settled(self) -> None:
        """Let the event loop count as on time from now on."""
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
                "the event loop was %.0f ms late; warned from %.0f ms on", lag_s * 1000, _LAG_WARNING_S * 1000
            )
        else:
            self.mark_settled()
