"""Waits in tests for a condition that nothing signals."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.001


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition until it holds; the caller sets the timeout."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
