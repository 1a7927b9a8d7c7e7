"""Runs control plane experiments, point by point."""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import structlog

from scale.control.experiment import ControlExperiment, Fault
from scale.control.faults import FaultOutcome, inject_fault
from scale.control.fleet import Fleet
from scale.control.measurements import (
    Labels,
    write_real_sidecar_delays,
    write_stub_delays,
    write_stub_memory,
    write_usage,
)
from scale.control.peak_sampler import PeakSampler
from scale.control.processes import RealSidecar, Registry, StubGroup, real_sidecar_config, wait_until
from scale.errors import EndpointListTimeoutError
from scale.ports import ReservedAddress
from scale.processes import ProcessGroup
from scale.results import ResultWriter
from scale.standins.registry_commands import ChangeEndpoints, CommittedChange

_LOAD_TIMEOUT_S = 120.0
_PROPAGATION_TIMEOUT_S = 15.0

log = structlog.get_logger()


def run_control(experiment: ControlExperiment, writer: ResultWriter) -> None:
    """Measure each combination of sizes, first at each change rate and then with each fault.

    Raises:
        EndpointListTimeoutError: Not all sidecars got the endpoint list in time.
    """
    for server_count in experiment.servers:
        for stub_count in experiment.stub_sidecars:
            with _started_fleet(experiment, server_count, stub_count) as fleet:
                PointRun(experiment, writer, fleet, server_count).run()


@contextmanager
def _started_fleet(experiment: ControlExperiment, server_count: int, stub_count: int) -> Iterator[Fleet]:
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        # Reserved before any process starts, as the connections of thousands of sidecars occupy many ports.
        reserved_addresses = [stack.enter_context(ReservedAddress()) for _ in range(experiment.real_sidecars)]
        group = stack.enter_context(ProcessGroup())
        registry = Registry(group, experiment, server_count)
        stubs = StubGroup(group, registry, experiment, stub_count)
        real_sidecars = [
            RealSidecar(
                group, registry, index, real_sidecar_config(experiment, index, reserved.address), folder
            )
            for index, reserved in enumerate(reserved_addresses)
        ]
        yield Fleet(experiment, registry, stubs, real_sidecars)


@dataclass(slots=True)
class PointRun:
    """The run of one point, which is one combination of sizes.

    Attributes:
        server_count: The number of endpoints in the registry.
    """

    experiment: ControlExperiment
    writer: ResultWriter
    fleet: Fleet
    server_count: int

    def run(self) -> None:
        """Load the endpoint list into all sidecars, then measure each change rate and each fault."""
        rng = random.Random(self.experiment.seed)
        self._load_endpoint_list()
        for rate in self.experiment.changes_per_second:
            self._measure_rate(rate, rng)
        for fault in self.experiment.faults:
            self._measure_fault(fault, rng)

    def _labels(self, phase: str, changes_per_second: float = 0.0) -> Labels:
        return {
            "servers": self.server_count,
            "sidecars": self.fleet.sidecar_count,
            "changes_per_second": changes_per_second,
            "phase": phase,
        }

    def _load_endpoint_list(self) -> None:
        labels = self._labels("start")
        empty = self.fleet.read_usage()
        self.fleet.stubs.start(self.experiment.start_within_s)
        if not self._wait_for_change(CommittedChange(version=1, at_s=0.0), _LOAD_TIMEOUT_S):
            raise EndpointListTimeoutError("hollow_sidecars", _LOAD_TIMEOUT_S)
        time.sleep(self.experiment.settle_s)
        full = self.fleet.read_usage()
        write_stub_memory(self.writer, self.fleet, empty, full, labels)
        log.info("endpoint list loaded", servers=self.server_count, sidecars=self.fleet.sidecar_count)

    def _wait_for_change(self, change: CommittedChange, timeout_s: float) -> bool:
        """Wait until all sidecars, stub and real, have applied a change; return whether they did in time."""

        def all_have_applied() -> bool:
            return self.fleet.stubs.have_applied(change) and self._real_sidecars_have_applied(change)

        return wait_until(all_have_applied, timeout_s)

    def _real_sidecars_have_applied(self, change: CommittedChange) -> bool:
        return None not in self.fleet.real_sidecar_delays([change]).delays_s[0]

    def _measure_rate(self, rate: float, rng: random.Random) -> None:
        labels = self._labels("steady", rate)
        duration_s = self.experiment.duration_s
        count = max(round(rate * duration_s), 1) if rate else 0
        before = self.fleet.read_usage()
        changes = self._restart_random_servers(count, duration_s, rng)
        after = self.fleet.read_usage()
        write_usage(self.writer, self.fleet, before, after, labels)
        if changes:
            self._wait_for_change(changes[-1], _PROPAGATION_TIMEOUT_S)
            self._write_delays(changes, labels)
        log.info(
            "change rate measured", servers=self.server_count, sidecars=self.fleet.sidecar_count, rate=rate
        )

    def _restart_random_servers(
        self, count: int, duration_s: float, rng: random.Random
    ) -> list[CommittedChange]:
        """Restart random servers at random times in a window, and return at its end."""
        started_at = time.monotonic()
        changes = []
        for offset_s in sorted(rng.uniform(0.0, duration_s) for _ in range(count)):
            time.sleep(max(started_at + offset_s - time.monotonic(), 0.0))
            index = rng.randrange(self.server_count)
            changes.append(self.fleet.registry.change(ChangeEndpoints(change="restart", indexes=[index])))
        time.sleep(max(started_at + duration_s - time.monotonic(), 0.0))
        return changes

    def _write_delays(self, changes: list[CommittedChange], labels: Labels) -> None:
        write_stub_delays(self.writer, self.fleet.stubs.delays(changes), labels)
        if self.fleet.real_sidecars:
            self._write_real_sidecar_delays(changes, labels)

    def _write_real_sidecar_delays(self, changes: list[CommittedChange], labels: Labels) -> None:
        write_real_sidecar_delays(self.writer, self.fleet.real_sidecar_delays(changes), labels)

    def _measure_fault(self, fault: Fault, rng: random.Random) -> None:
        labels = self._labels(str(fault.kind))
        before = self.fleet.read_usage()
        with PeakSampler(self.fleet) as peak_sampler:
            outcome = inject_fault(fault, self.fleet, rng)
            recovered = wait_until(lambda: self._has_recovered(outcome), fault.observed_s)
        after = self.fleet.read_usage()
        write_usage(self.writer, self.fleet, before, after, labels)
        peak_sampler.write(self.writer, labels)
        write_stub_delays(
            self.writer, self.fleet.stubs.delays(outcome.changes, outcome.affected_halves), labels
        )
        if self.fleet.real_sidecars and outcome.affects_real_sidecars:
            self._write_real_sidecar_delays(outcome.changes, labels)
        log.info("fault measured", fault=fault.kind, servers=self.server_count, recovered=recovered)

    def _has_recovered(self, outcome: FaultOutcome) -> bool:
        latest = outcome.changes[-1]
        if not self.fleet.stubs.have_applied(latest, outcome.affected_halves):
            return False
        return not outcome.affects_real_sidecars or self._real_sidecars_have_applied(latest)
