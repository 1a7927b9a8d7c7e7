"""Runs configuration experiments, point by point."""

from __future__ import annotations

import asyncio
import subprocess
import tempfile
from contextlib import ExitStack
from pathlib import Path

import structlog

from scale.commands import CommandClient
from scale.configuration.experiment import ConfigurationExperiment
from scale.configuration.point import Point
from scale.configuration.sidecar import ConfiguredSidecar
from scale.ports import ReservedAddress
from scale.processes import ProcessGroup
from scale.results import ResultWriter
from scale.sidecar_process import format_address
from scale.standins.registry_commands import RegistryOptions, registry_command
from scale.standins.server import ServerStandin

log = structlog.get_logger()


def run_configuration(experiment: ConfigurationExperiment, writer: ResultWriter) -> None:
    """Measure each combination of sizes.

    Raises:
        EndpointListTimeoutError: Not all sidecars got the endpoint list in time.
        RequestsInFlightTimeoutError: Not all requests reached the server in time.
        SidecarStartError: A sidecar did not start.
    """
    for servers in experiment.servers:
        for sidecars in experiment.sidecars:
            asyncio.run(_run_point(experiment, writer, servers, sidecars))


async def _run_point(
    experiment: ConfigurationExperiment, writer: ResultWriter, servers: int, sidecars: int
) -> None:
    with ExitStack() as stack, ProcessGroup() as group, tempfile.TemporaryDirectory() as folder:
        listen = [stack.enter_context(ReservedAddress()).address for _ in range(sidecars)]
        server = ServerStandin("s-0", lambda: 0.0)
        await server.start()
        registry = group.start(_registry_command(experiment, servers, server), stdout=subprocess.PIPE)
        client = CommandClient(registry.popen)
        discovery = client.ready.addresses[0]
        configured = [
            ConfiguredSidecar(group, Path(folder) / f"n{index}", address, discovery, experiment.seed + index)
            for index, address in enumerate(listen)
        ]
        for each in configured:
            each.await_ready()
        point = Point(
            experiment, writer, server, client, configured, {"servers": servers, "sidecars": sidecars}
        )
        try:
            await point.run()
        finally:
            for each in configured:
                each.close()
            server.close()
    log.info("point measured", servers=servers, sidecars=sidecars)


def _registry_command(experiment: ConfigurationExperiment, servers: int, server: ServerStandin) -> list[str]:
    address = format_address(server.address)
    return registry_command(RegistryOptions(servers=servers, seed=experiment.seed, endpoint_address=address))
