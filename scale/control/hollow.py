"""Hollow sidecars: the real discovery client, balancer and table of servers, without clients or requests.

Hundreds share one process.  Run as `python -m scale.control.hollow`; it prints that it is ready and then
takes commands.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import time
from typing import Annotated, Any, Literal

import typer
from hdrh.histogram import HdrHistogram
from pydantic import Field, TypeAdapter

from scale.commands import Done, Message, serve_commands
from scale.control.applied_log import AppliedLog
from scale.control.delays import new_histogram, record_seconds
from scale.standins.registry_process import Committed
from topazbank.balancer import Balancer
from topazbank.interface import (
    Endpoint,
    FetchRegistry,
    RegistryUpdated,
    RegistryUpdateKind,
    ServerState,
    SetTimer,
    TimerFired,
    WatchRegistry,
)
from topazbank.net.discovery import Discovery, RegistryResponse
from topazbank.net.sidecar import Clock
from topazbank.net.upstream import Address, Upstream, parse_address
from topazbank.settings import Settings
from topazbank.wire_settings import settings_from_wire

_SOCKETS_PER_SIDECAR = 480  # what a sidecar with the usual 1,024 descriptors keeps for servers
_GC_THRESHOLDS = (700, 5, 2)  # as the sidecar's own program sets them


def sidecar_settings(zone: str) -> dict[str, Any]:
    """Settings of a sidecar, in the wire's names."""
    return {
        "lanes": [{"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"}],
        "bounds": {"sendCap": 3, "mayCancel": True},
        "discovery": "on_request",
        "zone": zone,
    }


class HollowSidecar:
    """One sidecar without a front end: it follows the registry as a real one does, and serves nobody."""

    def __init__(self, settings: Settings, seed: int, discovery: Address) -> None:
        self.applied = AppliedLog()  # what it held when
        self._clock = Clock()
        self.balancer = Balancer(settings, seed)
        limits = settings.limits
        self._upstream = Upstream(
            limits.dial_timeout_us / 1e6, limits.idle_close_us / 1e6, _SOCKETS_PER_SIDECAR
        )
        self._discovery = Discovery(discovery, 0, self._told)
        self._stopped = False

    def start(self) -> None:
        """Hear of an empty list, as a real one without a list of its own does, and begin to watch."""
        self._handle(RegistryUpdated(RegistryUpdateKind.CACHED))

    def stop(self) -> None:
        """End all calls, as a process that is killed."""
        self._stopped = True
        self._discovery.stop()

    def move(self, address: Address) -> None:
        """Follow the registry at another address."""
        self._discovery.move(address)

    def _told(self, told: RegistryResponse | None) -> None:
        if told is None:
            self._handle(RegistryUpdated(RegistryUpdateKind.FAILED))
            return
        is_news = told.complete or told.version > self.applied.version()
        self._apply(told)
        if is_news:
            self.applied.add(told.version, time.monotonic())

    def _apply(self, told: RegistryResponse) -> None:
        """Put a list into force as `Sidecar` does: addresses first, then the balancer."""
        if told.complete:
            self._upstream.retain({line.server.server for line in told.lines})
        for line in told.lines:
            server = line.server
            self._upstream.update(server.server, line.address, server.started_at, server.state)
        servers = [line.server for line in told.lines]
        servers += [Endpoint(name, state=ServerState.GONE) for name in self._upstream.displace()]
        kind = RegistryUpdateKind.SNAPSHOT if told.complete else RegistryUpdateKind.DELTA
        self._handle(RegistryUpdated(kind, servers, told.version))

    def _handle(self, event: RegistryUpdated | TimerFired) -> None:
        if self._stopped:
            return
        for action in self.balancer.handle(self._clock.now(), event):
            match action:
                case SetTimer():
                    loop = asyncio.get_running_loop()
                    loop.call_later(action.in_us / 1e6, self._handle, TimerFired(action.token))
                case WatchRegistry():
                    self._discovery.follow(action.wanted)
                case FetchRegistry():
                    self._discovery.fetch()


class StartSidecars(Message):
    """Start all sidecars, or stop them and start them anew, spread over a time."""

    command: Literal["start"] = "start"
    within_s: float


class MoveDiscovery(Message):
    """Move all sidecars to another address of the registry, at once."""

    command: Literal["move"] = "move"
    address: tuple[str, int]


class GetProgress(Message):
    """Ask in how many sidecars a change is in force."""

    command: Literal["progress"] = "progress"
    change: Committed


class Progress(Message):
    """In how many sidecars it is in force, of how many."""

    sidecars: int
    in_force: int


class GetDelays(Message):
    """Ask for the times from changes to their being in force."""

    command: Literal["delays"] = "delays"
    changes: list[Committed]


class Delays(Message):
    """The times over all changes and sidecars, and how many of these pairs are not in force yet."""

    histogram: str  # HdrHistogram's encoding, in microseconds
    missing: int


HollowCommand = Annotated[
    StartSidecars | MoveDiscovery | GetProgress | GetDelays, Field(discriminator="command")
]
_COMMANDS: TypeAdapter[HollowCommand] = TypeAdapter(HollowCommand)


class HollowProcess:
    """Carries out the commands on the sidecars of one process."""

    def __init__(self, count: int, zone: str, seed: int, discovery: Address) -> None:
        self._settings = settings_from_wire(sidecar_settings(zone))
        self._random = random.Random(seed)
        self._discovery = discovery
        self._count = count
        self._sidecars: list[HollowSidecar] = []

    def handle(self, line: bytes) -> Message:
        """Carry out one command; raise ValueError on what is none."""
        command = _COMMANDS.validate_json(line)
        match command:
            case StartSidecars():
                self._start(command.within_s)
            case MoveDiscovery():
                self._discovery = command.address
                for sidecar in self._sidecars:
                    sidecar.move(command.address)
            case GetProgress():
                return self._progress(command.change)
            case GetDelays():
                return self._delays(command.changes)
        return Done()

    def _start(self, within_s: float) -> None:
        for sidecar in self._sidecars:
            sidecar.stop()
        self._sidecars = [
            HollowSidecar(self._settings, self._random.getrandbits(64), self._discovery)
            for _ in range(self._count)
        ]
        loop = asyncio.get_running_loop()
        for sidecar in self._sidecars:
            loop.call_later(within_s * self._random.random(), sidecar.start)

    def _progress(self, change: Committed) -> Progress:
        delays = [each.applied.in_force_after(change.version, change.at_s) for each in self._sidecars]
        return Progress(sidecars=len(delays), in_force=sum(delay is not None for delay in delays))

    def _delays(self, changes: list[Committed]) -> Delays:
        histogram: HdrHistogram = new_histogram()
        missing = 0
        for change in changes:
            for sidecar in self._sidecars:
                delay_s = sidecar.applied.in_force_after(change.version, change.at_s)
                if delay_s is None:
                    missing += 1
                else:
                    record_seconds(histogram, delay_s)
        return Delays(histogram=histogram.encode().decode("ascii"), missing=missing)


def main(
    count: Annotated[int, typer.Option(help="Sidecars in this process.")],
    discovery: Annotated[str, typer.Option(help="Address of the registry, host:port.")],
    zone: Annotated[str, typer.Option(help="Zone of the sidecars.")] = "",
    seed: Annotated[int, typer.Option(help="Seed of the sidecars.")] = 0,
) -> None:
    """Run hollow sidecars until the command connection ends."""
    logging.basicConfig(level=logging.ERROR)
    process = HollowProcess(count, zone, seed, parse_address(discovery))
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    asyncio.run(serve_commands(process.handle, []))


if __name__ == "__main__":
    typer.run(main)
