"""Runs hundreds of stub sidecars in one process.

Run as `python -m scale.control.stub_process`; it prints a `Ready` message and then accepts commands.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
from typing import Annotated

import typer

from scale.commands import Done, Message, serve_commands
from scale.control.stub_commands import (
    STUB_COMMANDS,
    Delays,
    GetDelays,
    GetProgress,
    MigrateDiscovery,
    Progress,
    StartSidecars,
)
from scale.control.stub_sidecar import StubSidecar, sidecar_settings
from scale.histogram import LatencyHistogram
from scale.standins.registry_commands import CommittedChange
from sidecar.__main__ import GC_THRESHOLDS
from sidecar.proxy.addresses import Address, parse_address
from sidecar.settings.wire_names import settings_from_wire


class StubCommandHandler:
    """Handles the commands to the sidecars of one process."""

    def __init__(self, count: int, zone: str, seed: int, discovery: Address) -> None:
        self._settings = settings_from_wire(sidecar_settings(zone))
        self._rng = random.Random(seed)
        self._discovery = discovery
        self._count = count
        self._sidecars: list[StubSidecar] = []

    def handle(self, line: bytes) -> Message:
        """Handle one command, a line of JSON, and return its response.

        Raises:
            ValueError: The line is not a command.
        """
        command = STUB_COMMANDS.validate_json(line)
        match command:
            case StartSidecars():
                self._start(command.spread_s)
            case MigrateDiscovery():
                self._discovery = command.address
                for sidecar in self._sidecars:
                    sidecar.migrate(command.address)
            case GetProgress():
                return self._progress(command.change)
            case GetDelays():
                return self._delays(command.changes)
        return Done()

    def _start(self, spread_s: float) -> None:
        for sidecar in self._sidecars:
            sidecar.stop()
        self._sidecars = [
            StubSidecar(self._settings, self._rng.getrandbits(64), self._discovery)
            for _ in range(self._count)
        ]
        loop = asyncio.get_running_loop()
        for sidecar in self._sidecars:
            loop.call_later(spread_s * self._rng.random(), sidecar.start)

    def _progress(self, change: CommittedChange) -> Progress:
        delays = [
            each.applied_log.delay_until_applied(change.version, change.at_s) for each in self._sidecars
        ]
        return Progress(sidecars=len(delays), applied=sum(delay is not None for delay in delays))

    def _delays(self, changes: list[CommittedChange]) -> Delays:
        histogram = LatencyHistogram()
        missing = 0
        for change in changes:
            for sidecar in self._sidecars:
                delay_s = sidecar.applied_log.delay_until_applied(change.version, change.at_s)
                if delay_s is None:
                    missing += 1
                else:
                    histogram.add_seconds(delay_s)
        return Delays(histogram=histogram.encode(), missing=missing)


def main(
    count: Annotated[int, typer.Option(help="Number of sidecars in this process.")],
    discovery: Annotated[str, typer.Option(help="Address of the registry, host:port.")],
    zone: Annotated[str, typer.Option(help="Zone of the sidecars.")] = "",
    seed: Annotated[int, typer.Option(help="Seed from which the sidecars' seeds are drawn.")] = 0,
) -> None:
    """Run stub sidecars until the command connection is closed."""
    logging.basicConfig(level=logging.ERROR)
    handler = StubCommandHandler(count, zone, seed, parse_address(discovery))
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(serve_commands(handler.handle, []))


if __name__ == "__main__":
    typer.run(main)
