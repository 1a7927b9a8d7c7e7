"""The settings of a small deployment, and the load of an application in it.

The figures are those of the operators' pages for ural-basin, for one sidecar of four or five.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

from standins.client import Client

_DIAL_TIMEOUT_US = 120_000
_UNSAFE_SHARE = 0.5


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

    def change_settings(self, config: dict[str, Any]) -> None:
        """Set the deadline of each class, and the time limit for dials, in a configuration."""
        config["settings"]["bounds"]["dialTimeoutUs"] = _DIAL_TIMEOUT_US
        for service_class in config["settings"]["lanes"]:
            service_class["giveUpUs"] = self.deadline_us

    async def send(self, client: Client, seed: int, *, with_unsafe: bool = False) -> None:
        """Send requests; return once all of them have ended.

        Args:
            client: The application.
            seed: Seed of the moments, the times that the client waits, and the classes.
            with_unsafe: Whether half of the requests are of the class that must not run twice.
        """
        rng = random.Random(seed)
        until = time.monotonic() + self.duration_s
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until:
                budget_s = rng.uniform(self.least_budget_share, 1.0) * self.deadline_us / 1e6
                is_unsafe = with_unsafe and rng.random() < _UNSAFE_SHARE
                tasks.create_task(
                    client.post("send", budget_s) if is_unsafe else client.get("read", budget_s)
                )
                await asyncio.sleep(rng.expovariate(self.requests_per_s))
