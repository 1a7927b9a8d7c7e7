"""Runs the registry stand-in in its own process, so that its CPU time and memory can be measured separately.

Run as `python -m scale.standins.registry_process`; it prints a `Ready` message with its addresses
and then accepts commands.
"""

from __future__ import annotations

import asyncio
import time
from typing import Annotated

import typer

from scale.commands import Done, Message, serve_commands
from scale.standins.change_log import ChangeLog
from scale.standins.fleet import make_endpoints
from scale.standins.registry import RegistryServer
from scale.standins.registry_commands import (
    REGISTRY_COMMANDS,
    BlackholeConnections,
    ChangeEndpoints,
    CommittedChange,
    DropChangeLog,
    GetObservedDelays,
    GetRegistryCounts,
    GetTraffic,
    ObservedDelays,
    RegistryCounts,
    RegistryOptions,
    SetAvailability,
    SetPartitioned,
    TrafficTotals,
)


class RegistryCommandHandler:
    """Handles the commands to a registry."""

    def __init__(self, server: RegistryServer) -> None:
        self._server = server
        self._initial_endpoints = server.change_log.endpoints()

    def handle(self, line: bytes) -> Message:
        """Handle one command, a line of JSON, and return its response.

        Raises:
            ValueError: The line is not a command.
        """
        command = REGISTRY_COMMANDS.validate_json(line)
        match command:
            case ChangeEndpoints():
                return self._change(command)
            case SetAvailability():
                self._server.set_availability(command.availability)
            case SetPartitioned():
                self._server.set_partitioned(command.listener, command.partitioned)
            case BlackholeConnections():
                self._server.blackhole_connections()
            case DropChangeLog():
                self._server.change_log.drop_changes()
            case GetRegistryCounts():
                return self._counts()
            case GetTraffic():
                traffic = [self._server.traffic(listener) for listener in command.listeners]
                return TrafficTotals(
                    calls=sum(each.calls for each in traffic),
                    http_bytes=sum(each.http_bytes for each in traffic),
                )
            case GetObservedDelays():
                return self._observed_delays(command)
        return Done()

    def _change(self, command: ChangeEndpoints) -> CommittedChange:
        log, at_s = self._server.change_log, time.monotonic()
        names = [self._initial_endpoints[index].name for index in command.indexes]
        match command.change:
            case "restart":
                version = log.restart(names, time.time_ns() // 1_000_000)
            case "drain":
                version = log.drain(names)
            case "remove":
                version = log.remove(names)
            case "add":
                version = log.commit([self._initial_endpoints[index] for index in command.indexes])
        return CommittedChange(version=version, at_s=at_s)

    def _counts(self) -> RegistryCounts:
        counters = self._server.counters
        values = {name: getattr(counters, name) for name in RegistryCounts.model_fields if name != "version"}
        return RegistryCounts(version=self._server.change_log.version, **values)

    def _observed_delays(self, command: GetObservedDelays) -> ObservedDelays:
        return ObservedDelays(
            delays_s=[
                [self._delay_until_observed(change, listener) for listener in command.listeners]
                for change in command.changes
            ]
        )

    def _delay_until_observed(self, change: CommittedChange, listener: int) -> float | None:
        for call in self._server.observed_calls(listener):
            if call.after >= change.version and call.at_s >= change.at_s:
                return call.at_s - change.at_s
        return None


async def serve(options: RegistryOptions) -> None:
    """Serve a synthetic fleet until the command connection is closed."""
    endpoints = make_endpoints(options.servers, options.zones, options.seed, options.endpoint_address)
    server = RegistryServer(ChangeLog(endpoints))
    listeners = options.listeners + options.observed_listeners
    addresses = await server.start(listeners, options.observed_listeners)
    try:
        await serve_commands(RegistryCommandHandler(server).handle, addresses)
    finally:
        await server.stop()


def main(options: Annotated[str, typer.Argument(help="`RegistryOptions` as JSON.")]) -> None:
    """Run a registry of synthetic endpoints on loopback."""
    asyncio.run(serve(RegistryOptions.model_validate_json(options)))


if __name__ == "__main__":
    typer.run(main)
