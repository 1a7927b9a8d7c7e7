"""The load of an application: requests that are safe to repeat, at random moments."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

from standins.client import Client


@dataclass(frozen=True, slots=True)
class Load:
    """How an application sends.

    Attributes:
        deadline_us: The deadline of each class, in microseconds.
        requests_per_s: The mean rate.
        duration_s: How long it sends.
        least_budget_share: A try is given up after this share of the deadline, or more.
    """

    deadline_us: int = 1_000_000
    requests_per_s: float = 40.0
    duration_s: float = 9.0
    least_budget_share: float = 0.7

    def set_deadlines(self, config: dict[str, Any]) -> None:
        """Set the deadline of each class in a configuration."""
        for service_class in config["settings"]["lanes"]:
            service_class["giveUpUs"] = self.deadline_us

    async def send(self, client: Client, seed: int) -> None:
        """Send requests; return once all of them have ended."""
        rng = random.Random(seed)
        until = time.monotonic() + self.duration_s
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until:
                budget_s = rng.uniform(self.least_budget_share, 1.0) * self.deadline_us / 1e6
                tasks.create_task(client.get("read", budget_s))
                await asyncio.sleep(rng.expovariate(self.requests_per_s))
