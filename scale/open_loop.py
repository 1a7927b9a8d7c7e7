"""An open load loop: calls start at fixed times, whatever became of those before.

A slow answer holds up no later call, as each call takes an idle connection or opens a new one: the waiting
that a slow callee causes is measured, not left out (no coordinated omission).  Latency counts from the moment
the request is written; how late that was against its arrival time is the client's lag, kept beside it.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import numpy as np

from scale.http_client import CallResult


def poisson_arrivals(rate_per_s: float, duration_s: float, seed: int) -> list[float]:
    """Arrival times in seconds from 0 to the duration, the same for the same seed."""
    generator = np.random.default_rng(seed)
    count = generator.poisson(rate_per_s * duration_s)
    return [float(each) for each in np.sort(generator.uniform(0.0, duration_s, count))]


async def run_open_loop(
    arrivals_s: Sequence[float], start_call: Callable[[int, float], Awaitable[CallResult]]
) -> list[CallResult]:
    """Start call after call at its time from now; return the results in the order of the arrivals.

    `start_call` is given the call's number and its arrival time on the monotonic clock.
    """
    started_at = time.monotonic()
    tasks: list[asyncio.Future[CallResult]] = []
    try:
        for number, after_s in enumerate(arrivals_s):
            arrives_at = started_at + after_s
            await asyncio.sleep(max(arrives_at - time.monotonic(), 0.0))
            tasks.append(asyncio.ensure_future(start_call(number, arrives_at)))
        return list(await asyncio.gather(*tasks))
    finally:
        for task in tasks:
            task.cancel()
