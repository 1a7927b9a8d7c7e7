"""Measures one point of a configuration experiment: changes, an invalid file, a rollback and reload costs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from scale.commands import CommandClient
from scale.configuration.experiment import ConfigurationExperiment
from scale.configuration.sidecar import SAMPLE_CLASSES, ConfiguredSidecar
from scale.errors import EndpointListTimeoutError, RequestsInFlightTimeoutError, ScaleError
from scale.histogram import LatencyHistogram
from scale.http_client import CallResult
from scale.processes import ManagedProcess
from scale.results import LabelValue, ResultWriter
from scale.standins.registry_commands import GetRegistryCounts, RegistryCounts
from scale.standins.server import ServerStandin

PERCENTILES = (50.0, 99.0, 100.0)
_LOAD_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.05
_IN_FLIGHT_SERVICE_TIME_S = 0.8  # of the requests in flight while the files are replaced
_INVALID_CONFIGURATION = b'{"settings": {"lanes": []}}'


@dataclass(frozen=True, slots=True)
class Reading:
    """The CPU time of the sidecars and the registry's counters at one moment."""

    sidecar_cpu_s: float  # sum over all sidecars
    counts: RegistryCounts

    def http_bytes(self) -> int:
        """Return the bytes between the registry and all sidecars in both directions."""
        return self.counts.bytes_in + self.counts.bytes_out


@dataclass(slots=True)
class PointRun:
    """The run of one point, which is one combination of sizes.

    Attributes:
        version: The version of the configuration that was written last.
    """

    experiment: ConfigurationExperiment
    writer: ResultWriter
    server: ServerStandin
    registry: CommandClient
    sidecars: list[ConfiguredSidecar]
    labels: Mapping[str, LabelValue]
    version: int = 1

    async def run(self) -> None:
        """Wait for the endpoint list, then measure changes, an invalid file, a rollback and reload costs."""
        await _wait_until(
            lambda: self._counts().watching >= len(self.sidecars),
            EndpointListTimeoutError("sidecars", _LOAD_TIMEOUT_S),
        )
        for _ in range(self.experiment.changes):
            await self._measure_change()
        await self._measure_invalid_file()
        await self._measure_rollback()
        await self._measure_cost()

    def _counts(self) -> RegistryCounts:
        return self.registry.request(GetRegistryCounts(), RegistryCounts)

    def _next_configurations(self, added_class: str) -> list[tuple[ConfiguredSidecar, bytes]]:
        """Return the next configuration of each sidecar, with one class more than the initial one."""
        self.version += 1
        return [(each, each.configuration_with_class(self.version, added_class)) for each in self.sidecars]

    async def _replace_configurations(self, phase: str, added_class: str) -> None:
        """Replace all files by the next version, and write the times until the added class was accepted."""
        timeout_s = self.experiment.duration_s
        configurations = self._next_configurations(added_class)
        changes = (each.replace_and_wait(content, added_class, timeout_s) for each, content in configurations)
        delays = [delay for delay in await asyncio.gather(*changes) if delay is not None]
        share = len(delays) / len(self.sidecars)
        self._write("configuration", f"in force within {timeout_s:g} s", share, "share", phase)
        histogram = LatencyHistogram()
        for delay in delays:
            histogram.add_seconds(delay)
        for percentile in PERCENTILES if delays else ():
            value = histogram.percentile_seconds(percentile)
            self._write("configuration", f"in force, {percentile:g} in 100", value, "s", phase)

    async def _measure_change(self) -> None:
        """Replace all files while each sidecar has a request of each class in flight."""
        expected_requests = self.server.counters.requests + len(self.sidecars) * len(SAMPLE_CLASSES)
        self.server.service_time_s = lambda: _IN_FLIGHT_SERVICE_TIME_S
        in_flight = [
            asyncio.ensure_future(each.call(service_class))
            for each in self.sidecars
            for service_class in SAMPLE_CLASSES
        ]
        await _wait_until(
            lambda: self.server.counters.requests + _count_ended(in_flight) >= expected_requests,
            RequestsInFlightTimeoutError(_LOAD_TIMEOUT_S),
        )
        self.server.service_time_s = lambda: 0.0
        ended_before = _count_ended(in_flight)
        await self._replace_configurations("change", f"added-{self.version + 1}")
        results = await asyncio.gather(*in_flight)
        served = sum(each.status == HTTPStatus.OK for each in results)
        self._write("request in flight", "ended before the change", ended_before, "requests", "change")
        self._write("request in flight", "served", served / len(results), "share", "change")

    async def _measure_invalid_file(self) -> None:
        """Replace all files by an invalid one, and measure how many sidecars keep their configuration."""
        for sidecar in self.sidecars:
            await asyncio.to_thread(sidecar.replace_file, _INVALID_CONFIGURATION)
        await asyncio.sleep(self.experiment.reload_interval_s)
        unchanged = [await each.accepts_class(SAMPLE_CLASSES[0]) for each in self.sidecars]
        self._write(
            "configuration", "classes as before", sum(unchanged) / len(unchanged), "share", "bad file"
        )

    async def _measure_rollback(self) -> None:
        """Replace all files by the content of an earlier version under a newer version number."""
        await self._replace_configurations("taken back", "added-2")

    async def _measure_cost(self) -> None:
        """Compare a window with reloads, but no other traffic, with an idle window of the same length."""
        reloads, interval_s = self.experiment.metered_reloads, self.experiment.reload_interval_s
        start = self._read_usage()
        await asyncio.sleep(reloads * interval_s)
        idle = self._read_usage()
        for _ in range(reloads):
            for sidecar, content in self._next_configurations(f"metered-{self.version + 1}"):
                await asyncio.to_thread(sidecar.replace_file, content)
            await asyncio.sleep(interval_s)
        end = self._read_usage()
        reload_count = reloads * len(self.sidecars)
        cpu_s = (end.sidecar_cpu_s - idle.sidecar_cpu_s) - (idle.sidecar_cpu_s - start.sidecar_cpu_s)
        registry_bytes = (end.http_bytes() - idle.http_bytes()) - (idle.http_bytes() - start.http_bytes())
        snapshots = end.counts.snapshots - idle.counts.snapshots
        self._write("sidecar", "cpu of a reload", cpu_s / reload_count, "s", "metered")
        self._write(
            "sidecar", "registry bytes of a reload", registry_bytes / reload_count, "bytes", "metered"
        )
        self._write("discovery", "whole lists for a reload", snapshots / reload_count, "answers", "metered")

    def _read_usage(self) -> Reading:
        return Reading(sum(_cpu_s(each.process) for each in self.sidecars), self._counts())

    def _write(self, role: str, metric: str, value: float, unit: str, phase: str) -> None:
        self.writer.add(role, metric, value, unit, {**self.labels, "phase": phase})


async def _wait_until(condition: Callable[[], bool], timeout_error: ScaleError) -> None:
    """Poll a condition until it holds; raise `timeout_error` after 60 s."""
    deadline = time.monotonic() + _LOAD_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise timeout_error
        await asyncio.sleep(_POLL_INTERVAL_S)


def _count_ended(calls: Sequence[asyncio.Future[CallResult]]) -> int:
    return sum(each.done() for each in calls)


def _cpu_s(process: ManagedProcess) -> float:
    return process.usage().cpu_s
