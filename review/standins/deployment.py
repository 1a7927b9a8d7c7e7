"""A small deployment: one real sidecar, a client, discovery and a few servers; and the run of a case."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.client import Client
from standins.discovery import Discovery
from standins.record import Record
from standins.server import Behaviour, Server
from standins.sidecar import Sidecar

EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
_RUN_TIMEOUT_S = 100.0
_LAG_INTERVAL_S = 0.01
# The stand-ins share this process.  If it is late by more than this, its times say nothing about the sidecar.
_MAX_OWN_LAG_S = 0.1


class OwnLagError(RuntimeError):
    """The process of the stand-ins was held up."""

    def __init__(self, lag_s: float) -> None:
        super().__init__(f"the stand-ins were held up for {lag_s:.3f} s")


class Deployment:
    """The parts of a deployment.

    Attributes:
        record: The record of the run.
        has_trouble: Whether the disruption takes place.
        servers: The servers.
        sidecar: The sidecar.
        client: The application.
    """

    def __init__(self, record: Record, server_count: int, behaviour: Behaviour) -> None:
        self.record = record
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.servers = [Server(f"server-{number}", behaviour, record) for number in range(server_count)]
        self.sidecar = Sidecar()
        self.client = Client(self.sidecar.port, record)
        self._discovery = Discovery(self.servers)
        self._max_lag_s = 0.0
        self._lag_check: asyncio.Task[None] | None = None

    async def start(self, change_config: Callable[[dict[str, Any]], None]) -> None:
        """Start all parts; return once the sidecar is ready."""
        for server in self.servers:
            await server.start()
        await self._discovery.start()
        self.sidecar.start(self._discovery.port, self._discovery.full_list(), change_config)
        await asyncio.to_thread(self.sidecar.wait_until_ready)
        self._lag_check = asyncio.create_task(self._check_lag())
        self.record.add("the sidecar is ready")

    def check_own_lag(self) -> None:
        """Check that the stand-ins were on time.

        Raises:
            OwnLagError: They were not.
        """
        self.record.add(f"largest lag of the stand-ins: {self._max_lag_s:.3f} s")
        if self._max_lag_s > _MAX_OWN_LAG_S:
            raise OwnLagError(self._max_lag_s)

    async def _check_lag(self) -> None:
        while True:
            due = time.monotonic() + _LAG_INTERVAL_S
            await asyncio.sleep(_LAG_INTERVAL_S)
            self._max_lag_s = max(self._max_lag_s, time.monotonic() - due)


def run_case(folder: Path, deployment: Deployment, play: Callable[[Deployment], Awaitable[bool]]) -> int:
    """Play a case, end all processes, and write the record.

    Args:
        folder: The folder of the case.
        deployment: The deployment, which is not started yet.
        play: Starts the deployment and plays the case; returns whether the rule held.

    Returns:
        The exit code.
    """
    signal.signal(signal.SIGTERM, _stop)
    try:
        has_held = asyncio.run(_play(deployment, play))
        exit_code = EXIT_HELD if has_held else EXIT_BROKEN
    except Exception:
        traceback.print_exc(file=sys.stderr)
        exit_code = EXIT_COULD_NOT_RUN
    finally:
        deployment.sidecar.stop()
        deployment.record.write(folder / "record.txt")
    return exit_code


def _stop(_signal: int, _frame: object) -> None:
    """End the run; the processes that it has started are ended on the way out."""
    sys.exit(EXIT_COULD_NOT_RUN)


async def _play(deployment: Deployment, play: Callable[[Deployment], Awaitable[bool]]) -> bool:
    async with asyncio.timeout(_RUN_TIMEOUT_S):
        has_held = await play(deployment)
    deployment.check_own_lag()
    return has_held
