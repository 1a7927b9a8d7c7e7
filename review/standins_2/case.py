"""Runs one case: a record, a temporary folder, a time limit, and the exit code that the case ends with."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins_2.client import ClientConnection
from standins_2.discovery import DiscoveryStandin
from standins_2.record import Record
from standins_2.server import Attempt, ServerStandin
from standins_2.sidecar_process import ROOT, SidecarProcess

HELD, BROKEN, NOT_RUN = 0, 1, 2
_TIME_LIMIT_S = 110.0


@dataclass
class Scene:
    """A small deployment: one sidecar, its servers and discovery.

    Attributes:
        record: The record of the case.
        has_trouble: Whether the disruption is to happen.
        folder: An empty temporary folder.
        servers: The servers.
        attempts: What the servers received completely, in order.
        discovery: Discovery, once it has been started.
        sidecar: The sidecar, once it has been started.
        processes: Further processes that the case has started.
    """

    record: Record
    has_trouble: bool
    folder: Path
    servers: list[ServerStandin] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    discovery: DiscoveryStandin | None = None
    sidecar: SidecarProcess | None = None
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)

    async def start(
        self, server_count: int, settings: dict[str, Any], limits: dict[str, Any]
    ) -> SidecarProcess:
        """Start servers that serve, discovery that lists them, and the sidecar.

        Args:
            server_count: The number of servers, in two cells.
            settings: The service's settings.
            limits: The limits in the configuration.
        """
        for number in range(server_count):
            server = ServerStandin(f"s-{number}", self.attempts, group=number % 2)
            await server.start()
            self.servers.append(server)
        self.discovery = DiscoveryStandin(self.servers)
        await self.discovery.start()
        config = {
            "discovery": self.discovery.address,
            "limits": limits,
            "known": self.discovery.snapshot(),
            "settings": settings,
        }
        self.sidecar = SidecarProcess(self.folder, config)
        await self.sidecar.start()
        self.record.write(f"the sidecar is ready at {self.sidecar.address}")
        return self.sidecar

    async def connect(self) -> ClientConnection:
        """Open a connection of a client to the sidecar."""
        assert self.sidecar is not None
        return await ClientConnection.open(self.sidecar.address)

    async def stop(self) -> None:
        """End every process that was started, and note what it has printed."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            printed, _ = await process.communicate()
            self.record.write(f"a further process has ended: {printed.decode().strip()}")
        if self.sidecar is not None:
            await self.sidecar.stop()
            for line in self.sidecar.log.splitlines()[-20:]:
                self.record.write(f"log of the sidecar: {line[:200]}")


def sample_settings() -> dict[str, Any]:
    """Return the settings of the project's sample configuration."""
    sample = json.loads((ROOT / "deploy" / "sample" / "config.json").read_text(encoding="utf-8"))
    settings: dict[str, Any] = sample["settings"]
    return settings


def run_case(folder: Path, play: Callable[[Scene], Awaitable[list[str]]]) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

    Args:
        folder: The folder of the case, which gets the record.
        play: Plays the case and returns what broke the rule, a line each.
    """
    record = Record(folder / "record.txt")
    code = NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the processes that were started, too
    try:
        code = asyncio.run(_play(record, play))
    except (Exception, KeyboardInterrupt):  # the case could not run, whatever the reason
        record.write(traceback.format_exc())
    record.write(f"exit code {code}")
    record.close()
    sys.exit(code)


async def _play(record: Record, play: Callable[[Scene], Awaitable[list[str]]]) -> int:
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as name:
        scene = Scene(record, os.environ.get("TROUBLE", "1") != "0", Path(name))
        record.write(f"trouble: {'yes' if scene.has_trouble else 'no'}")
        try:
            async with asyncio.timeout(_TIME_LIMIT_S):
                broken = await play(scene)
        finally:
            await scene.stop()
    for line in broken:
        record.write(f"BROKEN: {line}")
    record.write(f"the rule was {'broken' if broken else 'kept'}")
    return BROKEN if broken else HELD
