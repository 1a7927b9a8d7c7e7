"""Measures the lag of an event loop: how late it runs its timers."""

from __future__ import annotations

import asyncio
import time

from scale.histogram import LatencyHistogram

_TIMER_INTERVAL_S = 0.01


class LagProbe:
    """Measures how late this process's event loop runs its timers while the `async with` block runs.

    The loop's timers have a resolution of 1 ms, so a lag of 0.5 ms is normal in an idle loop.
    """

    def __init__(self) -> None:
        self.histogram = LatencyHistogram()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> LagProbe:
        self._task = asyncio.create_task(self._measure())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _measure(self) -> None:
        while True:
            due_at = time.monotonic() + _TIMER_INTERVAL_S
            await asyncio.sleep(_TIMER_INTERVAL_S)
            self.histogram.add((time.monotonic() - due_at) * 1e6)
