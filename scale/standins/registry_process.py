"""The registry stand-in as a process of its own, so that its processor time and memory stand apart.

Run as `python -m scale.standins.registry_process`; it prints its addresses and then takes commands.
"""

from __future__ import annotations

import asyncio
import time
from typing import Annotated, Literal

import typer
from pydantic import Field, TypeAdapter

from scale.commands import Done, Message, serve_commands
from scale.standins.change_log import ChangeLog
from scale.standins.fleet import make_endpoints
from scale.standins.registry import RegistryServer
from scale.standins.registry_state import Availability


class ChangeEndpoints(Message):
    """Restart, drain, remove or add again endpoints of the made-up fleet, by their place in it."""

    command: Literal["change"] = "change"
    change: Literal["restart", "drain", "remove", "add"]
    indexes: list[int]


class Committed(Message):
    """A change that was committed, with the moment (monotonic clock) before watches were answered."""

    version: int
    at_s: float


class SetAvailability(Message):
    """Take the registry down, or bring it back."""

    command: Literal["availability"] = "availability"
    availability: Availability


class SetSilent(Message):
    """Cut off those who come by a listener, or end that."""

    command: Literal["silent"] = "silent"
    listener: int
    silent: bool


class StrandConnections(Message):
    """Let all open connections fall silent for good, while new ones are served."""

    command: Literal["strand"] = "strand"


class ForgetChanges(Message):
    """Lose the change log, as by a restart of the registry."""

    command: Literal["forget_changes"] = "forget_changes"


class GetCounts(Message):
    """Ask what the registry has done so far."""

    command: Literal["counts"] = "counts"


class Counts(Message):
    """The registry's counts, as in `RegistryCounts`."""

    version: int
    connections: int
    calls: int
    snapshots: int
    deltas: int
    empty: int
    refused: int
    malformed: int
    bytes_in: int
    bytes_out: int
    sampled_connections: int
    sampled_segments: int
    watching: int


class GetTraffic(Message):
    """Ask what went through some listeners since the start."""

    command: Literal["traffic"] = "traffic"
    listeners: list[int]


class TrafficTotals(Message):
    """What went through the listeners asked for, together."""

    calls: int
    http_bytes: int


class GetObserved(Message):
    """Ask when the only sidecar of each observed listener was first seen to hold a version."""

    command: Literal["observed"] = "observed"
    listeners: list[int]
    changes: list[Committed]


class Observed(Message):
    """For each change, the seconds until each sidecar was seen to hold it; None: not yet."""

    delays_s: list[list[float | None]]


RegistryCommand = Annotated[
    ChangeEndpoints
    | SetAvailability
    | SetSilent
    | StrandConnections
    | ForgetChanges
    | GetCounts
    | GetTraffic
    | GetObserved,
    Field(discriminator="command"),
]
_COMMANDS: TypeAdapter[RegistryCommand] = TypeAdapter(RegistryCommand)


class RegistryProcess:
    """Carries out the commands on a registry."""

    def __init__(self, server: RegistryServer) -> None:
        self._server = server
        self._fleet = server.change_log.endpoints()

    def handle(self, line: bytes) -> Message:
        """Carry out one command; raise ValueError on what is none."""
        command = _COMMANDS.validate_json(line)
        match command:
            case ChangeEndpoints():
                return self._change(command)
            case SetAvailability():
                self._server.set_availability(command.availability)
            case SetSilent():
                self._server.set_silent(command.listener, command.silent)
            case StrandConnections():
                self._server.strand_connections()
            case ForgetChanges():
                self._server.change_log.forget_changes()
            case GetCounts():
                return self._counts()
            case GetTraffic():
                traffic = [self._server.traffic(listener) for listener in command.listeners]
                return TrafficTotals(
                    calls=sum(each.calls for each in traffic),
                    http_bytes=sum(each.http_bytes for each in traffic),
                )
            case GetObserved():
                return self._observed(command)
        return Done()

    def _change(self, command: ChangeEndpoints) -> Committed:
        log, at_s = self._server.change_log, time.monotonic()
        names = [self._fleet[index].name for index in command.indexes]
        match command.change:
            case "restart":
                version = log.restart(names, time.time_ns() // 1_000_000)
            case "drain":
                version = log.drain(names)
            case "remove":
                version = log.remove(names)
            case "add":
                version = log.commit([self._fleet[index] for index in command.indexes])
        return Committed(version=version, at_s=at_s)

    def _counts(self) -> Counts:
        counts = self._server.counts
        figures = {name: getattr(counts, name) for name in Counts.model_fields if name != "version"}
        return Counts(version=self._server.change_log.version, **figures)

    def _observed(self, command: GetObserved) -> Observed:
        return Observed(
            delays_s=[
                [self._seen_after(change, listener) for listener in command.listeners]
                for change in command.changes
            ]
        )

    def _seen_after(self, change: Committed, listener: int) -> float | None:
        for call in self._server.observed_calls(listener):
            if call.after >= change.version and call.at_s >= change.at_s:
                return call.at_s - change.at_s
        return None


async def serve(
    servers: int, zones: int, seed: int, listeners: int, observed: int, address: str | None
) -> None:
    """Serve a made-up fleet until the command connection ends."""
    server = RegistryServer(ChangeLog(make_endpoints(servers, zones, seed, address)))
    addresses = await server.start(listeners + observed, observed)
    try:
        await serve_commands(RegistryProcess(server).handle, addresses)
    finally:
        await server.stop()


def main(
    servers: Annotated[int, typer.Option(help="Endpoints in the registry.")],
    zones: Annotated[int, typer.Option(help="Zones that they are spread over.")] = 1,
    seed: Annotated[int, typer.Option(help="Seed of the endpoints' names.")] = 0,
    listeners: Annotated[int, typer.Option(help="Addresses to listen at.")] = 1,
    observed: Annotated[int, typer.Option(help="Further addresses, each for one sidecar.")] = 0,
    address: Annotated[str | None, typer.Option(help="Address of all endpoints, host:port.")] = None,
) -> None:
    """Run a registry of made-up endpoints on loopback."""
    asyncio.run(serve(servers, zones, seed, listeners, observed, address))


if __name__ == "__main__":
    typer.run(main)
