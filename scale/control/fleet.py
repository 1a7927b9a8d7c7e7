"""The processes of one point of a control plane experiment, and their resource usage."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from scale.control.experiment import ControlExperiment
from scale.control.processes import RealSidecar, Registry, StubGroup
from scale.processes import ManagedProcess, ResourceUsage
from scale.standins.registry_commands import CommittedChange, ObservedDelays, RegistryCounts, TrafficTotals


@dataclass(frozen=True, slots=True)
class Reading:
    """The resource usage of all processes, and the registry's counters, at one moment."""

    registry: ResourceUsage
    stub_processes: list[ResourceUsage]
    real_sidecars: list[ResourceUsage]
    registry_counts: RegistryCounts
    real_sidecar_traffic: TrafficTotals


@dataclass(slots=True)
class Fleet:
    """The processes of one point of an experiment."""

    experiment: ControlExperiment
    registry: Registry
    stubs: StubGroup
    real_sidecars: list[RealSidecar]
    migrated: bool = False  # whether the sidecars use their second registry address

    @property
    def sidecar_count(self) -> int:
        """The number of sidecars that watch the registry."""
        return self.stubs.count + len(self.real_sidecars)

    def migrate_discovery(self) -> None:
        """Migrate all sidecars at once to their other registry address."""
        self.migrated = not self.migrated
        self.stubs.migrate(self.migrated)
        for sidecar in self.real_sidecars:
            sidecar.migrate(self.migrated)

    def real_sidecar_delays(self, changes: list[CommittedChange]) -> ObservedDelays:
        """Return the seconds until each real sidecar was first observed to have applied each change."""
        return self.registry.real_sidecar_delays(changes, len(self.real_sidecars), self.migrated)

    def read_usage(self) -> Reading:
        """Read the usage of all processes."""
        return Reading(
            self.registry.process.usage(),
            _usages(self.stubs.processes),
            _usages([each.process for each in self.real_sidecars]),
            self.registry.counts(),
            self.registry.real_sidecar_traffic(len(self.real_sidecars)),
        )


def _usages(processes: Sequence[ManagedProcess]) -> list[ResourceUsage]:
    return [process.usage() for process in processes]
