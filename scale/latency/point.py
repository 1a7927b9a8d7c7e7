"""Measures one point: alternating calls through one real sidecar and direct calls."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import subprocess
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from scale.commands import CommandClient, python_command
from scale.errors import SidecarExitError, SidecarStopTimeoutError
from scale.histogram import LatencyHistogram
from scale.http_client import Address, CallResult, HttpClient, format_call
from scale.lag_probe import LagProbe
from scale.latency.churn import endpoint_churn
from scale.latency.experiment import LatencyExperiment, LatencyPoint
from scale.latency.servers import GetServerCounts, ServerCounts, server_name
from scale.latency.tracing import Trace
from scale.open_loop import poisson_arrivals, run_open_loop
from scale.ports import ReservedAddress
from scale.processes import ManagedProcess, ProcessGroup, ResourceUsage
from scale.sidecar_process import (
    SIDECAR_COMMAND,
    format_address,
    sample_config,
    start_sidecar,
    wait_until_ready,
)
from scale.standins.change_log import ChangeLog, Endpoint
from scale.standins.registry import RegistryServer

DIRECT_SERVERS = 35  # servers that receive direct calls, over pooled connections

_SERVICE_CLASS = "read"  # class of the sample configuration whose calls are safe to repeat
_BUDGET_S = 2.0
_CALL_TIMEOUT_S = 2.5
_STOP_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class PointOutcome:
    """The measurements of one point, without the warm-up."""

    results: Sequence[CallResult]  # alternating: through the sidecar, then direct
    usage_before: ResourceUsage  # of the sidecar
    usage_after: ResourceUsage
    lag: LatencyHistogram  # of the client's event loop
    load_averages: tuple[float, float]  # of the machine, over 1 minute, before and after
    counts_before: ServerCounts
    counts_after: ServerCounts
    trace: Trace | None


def measure_point(experiment: LatencyExperiment, point: LatencyPoint) -> PointOutcome:
    """Start the processes of one point, make the calls, and end the processes.

    Raises:
        SidecarError: The sidecar failed to start or to stop cleanly.
    """
    with tempfile.TemporaryDirectory() as folder, ReservedAddress() as listen, ProcessGroup() as group:
        command = python_command(
            "scale.latency.servers",
            *("--servers", point.servers),
            *("--service-mean-ms", experiment.service_mean_ms),
            *("--seed", experiment.seed),
        )
        servers = CommandClient(group.start(command, stdout=subprocess.PIPE).popen)
        try:
            processes = _PointProcesses(Path(folder), group, listen.address, servers)
            return asyncio.run(_PointRun(experiment, point, processes).run())
        finally:
            servers.close()


@dataclass(frozen=True, slots=True)
class _PointProcesses:
    """The processes of one point, and the sidecar's folder and address."""

    folder: Path
    group: ProcessGroup
    listen: Address
    servers: CommandClient


class _PointRun:
    """The run of one point."""

    def __init__(
        self, experiment: LatencyExperiment, point: LatencyPoint, processes: _PointProcesses
    ) -> None:
        self._experiment = experiment
        self._point = point
        self._folder = processes.folder
        self._group = processes.group
        self._listen = processes.listen
        self._servers = processes.servers
        self._trace_path = processes.folder / "trace.json"
        self._addresses = processes.servers.ready.addresses
        self._change_log = ChangeLog(
            Endpoint(server_name(index), format_address(address), zone="a")
            for index, address in enumerate(self._addresses)
        )
        self._rng = np.random.default_rng(experiment.seed)
        self._direct_clients = [HttpClient(address) for address in self._addresses[:DIRECT_SERVERS]]
        self._call_count = 0

    async def run(self) -> PointOutcome:
        registry = RegistryServer(self._change_log)
        listen = self._listen
        sidecar = self._start_sidecar(listen, (await registry.start())[0])
        await asyncio.to_thread(wait_until_ready, sidecar, listen, self._folder)
        through_sidecar = HttpClient(listen)
        async with endpoint_churn(self._change_log, self._point, self._rng), _collection_paused():
            await self._make_calls(through_sidecar, self._experiment.warm_up_s, self._experiment.seed)
            load_before, counts_before = os.getloadavg()[0], self._get_server_counts()
            usage_before = sidecar.usage()
            async with LagProbe() as lag:
                results = await self._make_calls(
                    through_sidecar, self._experiment.duration_s, self._experiment.seed + 1
                )
            usage_after = sidecar.usage()
        load_averages = (load_before, os.getloadavg()[0])
        counts_after = self._get_server_counts()
        for client in (through_sidecar, *self._direct_clients):
            client.close()
        await asyncio.to_thread(self._stop, sidecar)
        await registry.stop()
        trace = Trace.read(self._trace_path) if self._point.traced else None
        return PointOutcome(
            results,
            usage_before,
            usage_after,
            lag.histogram,
            load_averages,
            counts_before,
            counts_after,
            trace,
        )

    def _start_sidecar(self, listen: Address, discovery: Address) -> ManagedProcess:
        command: Sequence[str] = SIDECAR_COMMAND
        if self._point.traced:
            command = python_command(
                "scale.latency.traced_sidecar",
                *("--trace", self._trace_path),
                *("--collector", self._point.collector.value),
            )
        config = sample_config(listen, discovery) | {"seed": f"{self._experiment.seed:x}"}
        return start_sidecar(self._group, config, self._folder, command)

    def _get_server_counts(self) -> ServerCounts:
        return self._servers.request(GetServerCounts(), ServerCounts)

    async def _make_calls(
        self, through_sidecar: HttpClient, duration_s: float, seed: int
    ) -> list[CallResult]:
        """Alternate calls through the sidecar and direct calls."""
        arrivals = poisson_arrivals(2 * self._experiment.calls_per_s, duration_s, seed)
        direct_indexes = self._rng.integers(len(self._direct_clients), size=len(arrivals))

        async def make_call(number: int, scheduled_at: float) -> CallResult:
            client = self._direct_clients[direct_indexes[number]] if number % 2 else through_sidecar
            self._call_count += 1
            request = format_call(_SERVICE_CLASS, f"{self._call_count:016x}", _BUDGET_S)
            return await client.call(request, scheduled_at, _CALL_TIMEOUT_S)

        return await run_open_loop(arrivals, make_call)

    def _stop(self, sidecar: ManagedProcess) -> None:
        sidecar.popen.terminate()
        try:
            exit_code = sidecar.popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired as timeout:
            raise SidecarStopTimeoutError(_STOP_TIMEOUT_S) from timeout
        if exit_code != 0:
            raise SidecarExitError(exit_code)


@contextlib.asynccontextmanager
async def _collection_paused() -> AsyncIterator[None]:
    """Pause this process's garbage collection, which would distort the client's measurements."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
