"""Runs server stand-ins in their own process, so that they delay neither the client nor the sidecar.

Run as `python -m scale.latency.servers`; it prints a `Ready` message with the addresses of the
servers and then accepts commands.
"""

from __future__ import annotations

import asyncio
import gc
from typing import Annotated, Literal

import typer

from scale.commands import Message, serve_commands
from scale.standins.server import ServerStandin, exponential_service_times


class GetServerCounts(Message):
    """Get the sums of all servers' counters."""

    command: Literal["counts"] = "counts"


class ServerCounts(Message):
    """The sums of the servers' counters, as in `ServerCounters`."""

    connections: int
    requests: int
    served: int
    abandoned: int
    overlapping: int
    without_id: int


def server_name(index: int) -> str:
    """Return the name of the server with an index in the list of addresses."""
    return f"s-{index:04d}"


def sum_counters(servers: list[ServerStandin]) -> ServerCounts:
    """Sum the servers' counters."""
    sums = {
        name: sum(getattr(server.counters, name) for server in servers) for name in ServerCounts.model_fields
    }
    return ServerCounts(**sums)


async def serve(servers: int, service_mean_s: float, seed: int) -> None:
    """Serve until the command connection is closed."""
    service_time_s = exponential_service_times(service_mean_s, seed)
    standins = [ServerStandin(server_name(index), service_time_s) for index in range(servers)]
    for each in standins:
        await each.start()
    gc.freeze()
    gc.disable()  # collections would distort the measurement, and the process runs only for one point

    def handle(line: bytes) -> Message:
        GetServerCounts.model_validate_json(line)
        return sum_counters(standins)

    await serve_commands(handle, [each.address for each in standins])


def main(
    servers: Annotated[int, typer.Option(help="Number of servers, each with a port of its own.")],
    service_mean_ms: Annotated[float, typer.Option(help="Mean of the exponential service times.")],
    seed: Annotated[int, typer.Option(help="Seed of the service times.")] = 0,
) -> None:
    """Run server stand-ins on loopback."""
    asyncio.run(serve(servers, service_mean_ms / 1000, seed))


if __name__ == "__main__":
    typer.run(main)
