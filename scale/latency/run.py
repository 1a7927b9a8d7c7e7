"""Runs experiments of the kind `latency`: direct calls and calls through one real sidecar, in turn."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import subprocess
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np
import structlog

from scale.commands import CommandClient, python_command
from scale.errors import SidecarExitError, SidecarStopTimeoutError
from scale.latency.analysis import (
    PERCENTS,
    SLOWEST_PERCENT,
    histogram_quantiles_us,
    pair_up,
    quantiles_us,
    served,
    tell_sources_apart,
)
from scale.latency.experiment import LatencyExperiment, LatencyPoint
from scale.latency.servers import GetServerCounts, ServerCounts, server_name
from scale.latency.tracing import Trace
from scale.load import (
    Address,
    CallResult,
    HttpClient,
    LagProbe,
    LatencyHistogram,
    format_call,
    poisson_arrivals,
    run_open_loop,
)
from scale.ports import ReservedAddress
from scale.processes import ManagedProcess, ProcessGroup, Usage
from scale.results import Label, ResultWriter
from scale.sidecar_process import (
    PROGRAM,
    await_ready,
    format_address,
    sample_config,
    start_sidecar,
)
from scale.standins.change_log import ChangeLog, Endpoint
from scale.standins.registry import RegistryServer

DIRECT_SERVERS = 35  # direct calls go to so many of the servers, over connections that are kept

_CLASS = "read"  # of the sample configuration: safe to repeat
_BUDGET_S = 2.0
_CALL_LIMIT_S = 2.5
_STOP_LIMIT_S = 15.0
_MEBIBYTE = 1024 * 1024

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PointOutcome:
    """What was measured at one point, warm-up left out."""

    results: Sequence[CallResult]  # in turn through the sidecar and direct
    before: Usage  # of the sidecar
    after: Usage
    lag: LatencyHistogram  # of the client's event loop
    load_averages: tuple[float, float]  # of the machine, over a minute, before and after
    counts_before: ServerCounts
    counts_after: ServerCounts
    trace: Trace | None


def run_latency(experiment: LatencyExperiment, writer: ResultWriter) -> None:
    """Measure each point with a sidecar and servers of its own."""
    for number, point in enumerate(experiment.points):
        log.info(
            "point started", number=number + 1, of=len(experiment.points), **point.model_dump(mode="json")
        )
        write_point(measure_point(experiment, point), experiment, point, writer)


def measure_point(experiment: LatencyExperiment, point: LatencyPoint) -> PointOutcome:
    """Start the processes of one point, call, and end them."""
    with tempfile.TemporaryDirectory() as folder, ReservedAddress() as listen, ProcessGroup() as group:
        command = python_command(
            "scale.latency.servers",
            *("--servers", point.servers),
            *("--service-mean-ms", experiment.service_mean_ms),
            *("--seed", experiment.seed),
        )
        servers = CommandClient(group.start(command, stdout=subprocess.PIPE).popen)
        try:
            run = _PointRun(experiment, point, Path(folder), group, listen.address, servers)
            return asyncio.run(run.run())
        finally:
            servers.close()


class _PointRun:
    """The parts of one point."""

    def __init__(
        self,
        experiment: LatencyExperiment,
        point: LatencyPoint,
        folder: Path,
        group: ProcessGroup,
        listen: Address,
        servers: CommandClient,
    ) -> None:
        self._experiment = experiment
        self._point = point
        self._folder = folder
        self._group = group
        self._listen = listen
        self._servers = servers
        self._trace_path = folder / "trace.json"
        self._addresses = servers.ready.addresses
        self._change_log = ChangeLog(
            Endpoint(server_name(index), format_address(address), zone="a")
            for index, address in enumerate(self._addresses)
        )
        self._generator = np.random.default_rng(experiment.seed)
        self._direct = [HttpClient(address) for address in self._addresses[:DIRECT_SERVERS]]
        self._calls = 0

    async def run(self) -> PointOutcome:
        registry = RegistryServer(self._change_log)
        listen = self._listen
        sidecar = self._start_sidecar(listen, (await registry.start())[0])
        await asyncio.to_thread(await_ready, sidecar, listen, self._folder)
        through_sidecar = HttpClient(listen)
        async with self._registry_changes(), _collection_paused():
            await self._call(through_sidecar, self._experiment.warm_up_s, self._experiment.seed)
            load_before, counts_before = os.getloadavg()[0], self._counts()
            before = sidecar.usage()
            async with LagProbe() as lag:
                results = await self._call(
                    through_sidecar, self._experiment.duration_s, self._experiment.seed + 1
                )
            after = sidecar.usage()
        load_averages = (load_before, os.getloadavg()[0])
        counts_after = self._counts()
        for client in (through_sidecar, *self._direct):
            client.close()
        await asyncio.to_thread(self._stop, sidecar)
        await registry.stop()
        trace = Trace.read(self._trace_path) if self._point.traced else None
        return PointOutcome(
            results, before, after, lag.histogram, load_averages, counts_before, counts_after, trace
        )

    def _start_sidecar(self, listen: Address, discovery: Address) -> ManagedProcess:
        program: Sequence[str] = PROGRAM
        if self._point.traced:
            program = python_command(
                "scale.latency.traced_sidecar",
                *("--trace", self._trace_path),
                *("--collector", self._point.collector.value),
            )
        config = sample_config(listen, discovery) | {"seed": f"{self._experiment.seed:x}"}
        return start_sidecar(self._group, config, self._folder, program)

    def _counts(self) -> ServerCounts:
        return self._servers.ask(GetServerCounts(), ServerCounts)

    async def _call(self, through_sidecar: HttpClient, duration_s: float, seed: int) -> list[CallResult]:
        """Call in turn through the sidecar and direct."""
        arrivals = poisson_arrivals(2 * self._experiment.calls_per_s, duration_s, seed)
        direct = self._generator.integers(len(self._direct), size=len(arrivals))

        async def start_call(number: int, arrived_at: float) -> CallResult:
            client = self._direct[direct[number]] if number % 2 else through_sidecar
            self._calls += 1
            request = format_call(_CLASS, f"{self._calls:016x}", _BUDGET_S)
            return await client.call(request, arrived_at, _CALL_LIMIT_S)

        return await run_open_loop(arrivals, start_call)

    @contextlib.asynccontextmanager
    async def _registry_changes(self) -> AsyncIterator[None]:
        """Let the list change at the point's rates while the block runs."""
        tasks = [
            asyncio.create_task(_repeat(rate, change))
            for rate, change in (
                (self._point.changes_per_s, self._restart_a_server),
                (self._point.snapshots_per_s, self._force_a_snapshot),
            )
            if rate > 0.0
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _restart_a_server(self) -> None:
        index = int(self._generator.integers(self._point.servers))
        self._change_log.restart([server_name(index)], time.time_ns() // 1_000_000)

    def _force_a_snapshot(self) -> None:
        """Lose the log of changes and commit one, so that the watch is answered with the whole list."""
        self._change_log.forget_changes()
        self._change_log.commit([self._change_log.endpoint(server_name(0))])

    def _stop(self, sidecar: ManagedProcess) -> None:
        sidecar.popen.terminate()
        try:
            code = sidecar.popen.wait(_STOP_LIMIT_S)
        except subprocess.TimeoutExpired as late:
            raise SidecarStopTimeoutError(_STOP_LIMIT_S) from late
        if code != 0:
            raise SidecarExitError(code)


async def _repeat(rate_per_s: float, change: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(1 / rate_per_s)
        change()


@contextlib.asynccontextmanager
async def _collection_paused() -> AsyncIterator[None]:
    """Keep the client's own garbage collection out of what is measured."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def write_point(
    outcome: PointOutcome, experiment: LatencyExperiment, point: LatencyPoint, writer: ResultWriter
) -> None:
    """Write the figures of one point."""
    _PointWriter(outcome, experiment, point, writer).write()


class _PointWriter:
    """Writes figures with the labels of one point."""

    def __init__(
        self, outcome: PointOutcome, experiment: LatencyExperiment, point: LatencyPoint, writer: ResultWriter
    ) -> None:
        self._outcome = outcome
        self._budget_us = experiment.budget_ms * 1000
        self._writer = writer
        self._labels: dict[str, Label] = point.model_dump(mode="json")
        self._calls = [call for call in map(served, outcome.results[::2]) if call is not None]
        self._direct = [call for call in map(served, outcome.results[1::2]) if call is not None]

    def _add(self, role: str, metric: str, value: float, unit: str, **labels: Label) -> None:
        self._writer.add(role, metric, value, unit, self._labels | labels)

    def write(self) -> None:
        self._write_counts()
        self._write_cost()
        self._write_added()
        self._write_connections()
        self._write_conditions()
        if self._outcome.trace is not None and self._calls:
            self._write_sources(self._outcome.trace)

    def _write_counts(self) -> None:
        through_sidecar, direct = self._outcome.results[::2], self._outcome.results[1::2]
        self._add("sidecar", "calls", len(through_sidecar), "calls")
        self._add("sidecar", "calls not served", len(through_sidecar) - len(self._calls), "calls")
        self._add("client", "direct calls", len(direct), "calls")
        self._add("client", "direct calls not served", len(direct) - len(self._direct), "calls")
        before, after = self._outcome.counts_before, self._outcome.counts_after
        self._add("server", "requests", after.requests - before.requests, "requests")
        self._add("server", "overlapping requests", after.overlapping - before.overlapping, "requests")
        self._add("server", "new connections", after.connections - before.connections, "connections")

    def _write_cost(self) -> None:
        before, after = self._outcome.before, self._outcome.after
        cpu_s = after.cpu_s - before.cpu_s
        calls = max(len(self._outcome.results[::2]), 1)
        self._add("sidecar", "CPU a call", cpu_s / calls * 1e6, "us")
        self._add("sidecar", "CPU", cpu_s / (after.at_s - before.at_s) * 100, "% of a core")
        self._add("sidecar", "memory", after.memory_bytes / _MEBIBYTE, "MiB")

    def _write_added(self) -> None:
        """Overhead is latency without the time that the server held the call."""
        pairs = pair_up(self._outcome.results)
        if not pairs:
            return
        through_sidecar, direct = histogram_quantiles_us(self._calls), histogram_quantiles_us(self._direct)
        paired = quantiles_us([pair.added_us for pair in pairs])
        for percent in PERCENTS:
            self._add("sidecar", f"overhead p{percent:g}", through_sidecar[percent], "us")
            self._add("client", f"direct overhead p{percent:g}", direct[percent], "us")
            added_us = through_sidecar[percent] - direct[percent]
            self._add("sidecar", f"added p{percent:g}, difference of quantiles", added_us, "us")
            self._add("sidecar", f"added p{percent:g}, paired", paired[percent], "us")
        within = sum(pair.added_us <= self._budget_us for pair in pairs)
        self._add("sidecar", "pairs within the budget", within / len(pairs) * 100, "%")

    def _write_connections(self) -> None:
        new = [call for call in self._calls if call.is_on_new_connection]
        kept = [call for call in self._calls if not call.is_on_new_connection]
        for name, group in (("new", new), ("kept", kept)):
            if group:
                self._add(
                    "sidecar", "share of calls", len(group) / len(self._calls) * 100, "%", connection=name
                )
                for percent, value in histogram_quantiles_us(group).items():
                    self._add("sidecar", f"overhead p{percent:g}", value, "us", connection=name)
        connected = sum(call.result.connected for call in self._calls)
        self._add("client", "new connections to the sidecar", connected, "connections")

    def _write_conditions(self) -> None:
        lag = self._outcome.lag
        for percent in PERCENTS:
            self._add("client", f"event loop lag p{percent:g}", lag.quantile(percent), "us")
        late = LatencyHistogram([result.late_us for result in self._outcome.results])
        self._add("client", "calls started late p99", late.quantile(99.0), "us")
        for moment, load in zip(("before", "after"), self._outcome.load_averages, strict=True):
            self._add("machine", "load average", load, "processes", moment=moment)
        self._add("machine", "cores", os.cpu_count() or 0, "cores")

    def _write_sources(self, trace: Trace) -> None:
        overhead = np.array([call.overhead_us for call in self._calls])
        slowest = overhead >= np.percentile(overhead, SLOWEST_PERCENT)
        sources = tell_sources_apart(self._calls, trace)
        for percent, value in quantiles_us(sources.event_loop_cpu()).items():
            self._add("sidecar", f"event loop CPU while a call waits p{percent:g}", value, "us")
        for source, times in sources.parts().items():
            self._add("sidecar", "mean time of all calls", float(times.mean()), "us", source=source)
            mean_us = float(times[slowest].mean())
            self._add("sidecar", "mean time of the slowest 1 in 100", mean_us, "us", source=source)
            without = float(np.percentile(overhead - times, SLOWEST_PERCENT))
            self._add("sidecar", "overhead p99 without it", without, "us", source=source)
        new = np.array([call.is_on_new_connection for call in self._calls], dtype=bool)
        share = float(new[slowest].mean()) * 100
        self._add("sidecar", "share on a new connection of the slowest 1 in 100", share, "%")
        self._add("sidecar", "garbage collections", trace.collection_count, "collections")
        self._add("sidecar", "registry calls timed", trace.registry_count, "calls")
