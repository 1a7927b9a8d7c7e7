"""Open-loop load: calls start at scheduled times, regardless of the results of earlier calls.

A slow response does not delay later calls, because each call takes an idle connection or opens a new one.
Queueing at a slow server is therefore part of the measured latency (no coordinated omission).  Latency counts
from the actual start of a call; the client's lag behind the schedule is recorded separately.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import numpy as np

from scale.http_client import CallResult


def poisson_arrivals(rate_per_s: float, duration_s: float, seed: int) -> list[float]:
    """Draw Poisson arrival times in order, in seconds from 0 to the duration; reproducible for a seed."""
    generator = np.random.default_rng(seed)
    count = generator.poisson(rate_per_s * duration_s)
    return [float(each) for each in np.sort(generator.uniform(0.0, duration_s, count))]


async def run_open_loop(
    arrivals_s: Sequence[float], make_call: Callable[[int, float], Awaitable[CallResult]]
) -> list[CallResult]:
    """Start each call at its scheduled time, and wait for all results.

    Args:
        arrivals_s: Start times in seconds from now, in order.
        make_call: Makes a call, given its number and its scheduled start on the monotonic clock.

    Returns:
        The results in the order of the start times.
    """
    started_at = time.monotonic()
    tasks: list[asyncio.Future[CallResult]] = []
    try:
        for number, offset_s in enumerate(arrivals_s):
            scheduled_at = started_at + offset_s
            await asyncio.sleep(max(scheduled_at - time.monotonic(), 0.0))
            tasks.append(asyncio.ensure_future(make_call(number, scheduled_at)))
        return list(await asyncio.gather(*tasks))
    finally:
        for task in tasks:
            task.cancel()
