"""Changes a registry's endpoint list while calls are measured."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import numpy as np

from scale.latency.experiment import LatencyPoint
from scale.latency.servers import server_name
from scale.standins.change_log import ChangeLog


@contextlib.asynccontextmanager
async def endpoint_churn(
    change_log: ChangeLog, point: LatencyPoint, rng: np.random.Generator
) -> AsyncIterator[None]:
    """Change the endpoint list at the point's rates while the block runs.

    Args:
        change_log: The registry's change log.
        point: The point, with the number of endpoints and the change rates.
        rng: Selects the servers that restart.
    """

    def restart_server() -> None:
        index = int(rng.integers(point.servers))
        change_log.restart([server_name(index)], time.time_ns() // 1_000_000)

    def force_snapshot() -> None:
        """Drop the change log and commit a change, so that the watch receives a snapshot."""
        change_log.drop_changes()
        change_log.commit([change_log.endpoint(server_name(0))])

    changes = ((point.changes_per_s, restart_server), (point.snapshots_per_s, force_snapshot))
    tasks = [asyncio.create_task(_repeat(rate, change)) for rate, change in changes if rate > 0.0]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _repeat(rate_per_s: float, change: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(1 / rate_per_s)
        change()
