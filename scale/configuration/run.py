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
from scale.configuration.point import PointRun
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
    for server_count in experiment.servers:
        for sidecar_count in experiment.sidecars:
            asyncio.run(_run_point(experiment, writer, server_count, sidecar_count))


async def _run_point(
    experiment: ConfigurationExperiment, writer: ResultWriter, server_count: int, sidecar_count: int
) -> None:
    with ExitStack() as stack, ProcessGroup() as group, tempfile.TemporaryDirectory() as folder:
        listen_addresses = [stack.enter_context(ReservedAddress()).address for _ in range(sidecar_count)]
        server = ServerStandin("s-0", lambda: 0.0)
        await server.start()
        registry = group.start(_registry_command(experiment, server_count, server), stdout=subprocess.PIPE)
        client = CommandClient(registry.popen)
        discovery = client.ready.addresses[0]
        sidecars = [
            ConfiguredSidecar(group, Path(folder) / f"n{index}", address, discovery, experiment.seed + index)
            for index, address in enumerate(listen_addresses)
        ]
        for each in sidecars:
            each.wait_until_ready()
        point_run = PointRun(
            experiment, writer, server, client, sidecars, {"servers": server_count, "sidecars": sidecar_count}
        )
        try:
            await point_run.run()
        finally:
            for each in sidecars:
                each.close()
            server.close()
    log.info("point measured", servers=server_count, sidecars=sidecar_count)


def _registry_command(
    experiment: ConfigurationExperiment, server_count: int, server: ServerStandin
) -> list[str]:
    address = format_address(server.address)
    return registry_command(
        RegistryOptions(servers=server_count, seed=experiment.seed, endpoint_address=address)
    )
