"""The processes of a control plane experiment: the registry, stub sidecars and real sidecars."""

from __future__ import annotations

import signal
import subprocess
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from scale.commands import CommandClient, python_command
from scale.control.experiment import ControlExperiment
from scale.control.stub_commands import (
    Delays,
    GetDelays,
    GetProgress,
    MigrateDiscovery,
    Progress,
    StartSidecars,
)
from scale.control.stub_sidecar import sidecar_settings
from scale.http_client import Address
from scale.processes import ManagedProcess, ProcessGroup
from scale.sidecar_process import format_address, start_sidecar, write_config
from scale.standins.change_log import Endpoint
from scale.standins.fleet import make_endpoints, zone_name
from scale.standins.registry_commands import (
    ChangeEndpoints,
    CommittedChange,
    GetObservedDelays,
    GetRegistryCounts,
    GetTraffic,
    ObservedDelays,
    RegistryCounts,
    RegistryOptions,
    TrafficTotals,
    registry_command,
)

STUB_HALVES = (0, 1)  # each half of the stub sidecars has its own listener, so that one can be partitioned
_STUB_LISTENERS = 2 * len(STUB_HALVES)  # each half has a second address to migrate to
_POLL_INTERVAL_S = 0.2


class Registry:
    """The process of the registry stand-in."""

    def __init__(self, group: ProcessGroup, experiment: ControlExperiment, server_count: int) -> None:
        options = RegistryOptions(
            servers=server_count,
            zones=experiment.zones,
            seed=experiment.seed,
            listeners=_STUB_LISTENERS,
            observed_listeners=2 * experiment.real_sidecars,
        )
        self.process = group.start(registry_command(options), stdout=subprocess.PIPE)
        self.client = CommandClient(self.process.popen)
        self.endpoints: list[Endpoint] = make_endpoints(server_count, experiment.zones, experiment.seed)

    def stub_listener(self, half: int, migrated: bool) -> int:
        """Return the index of the listener for a half of the stub sidecars, before or after a migration."""
        return half + len(STUB_HALVES) * migrated

    def real_sidecar_listener(self, index: int, migrated: bool) -> int:
        """Return the index of the listener reserved for one real sidecar, before or after a migration."""
        return _STUB_LISTENERS + 2 * index + migrated

    def address(self, listener: int) -> Address:
        """Return the address of a listener."""
        return self.client.ready.addresses[listener]

    def change(self, command: ChangeEndpoints) -> CommittedChange:
        """Commit a change."""
        return self.client.request(command, CommittedChange)

    def counts(self) -> RegistryCounts:
        """Return the registry's counters."""
        return self.client.request(GetRegistryCounts(), RegistryCounts)

    def real_sidecar_traffic(self, real_sidecar_count: int) -> TrafficTotals:
        """Return the traffic between the registry and all real sidecars so far."""
        listeners = [
            self.real_sidecar_listener(index, migrated)
            for index in range(real_sidecar_count)
            for migrated in (False, True)
        ]
        return self.client.request(GetTraffic(listeners=listeners), TrafficTotals)

    def real_sidecar_delays(
        self, changes: list[CommittedChange], real_sidecar_count: int, migrated: bool
    ) -> ObservedDelays:
        """Return the seconds until each real sidecar was first observed to have applied each change."""
        listeners = [self.real_sidecar_listener(index, migrated) for index in range(real_sidecar_count)]
        return self.client.request(GetObservedDelays(listeners=listeners, changes=changes), ObservedDelays)


class StubGroup:
    """All processes that run stub sidecars."""

    def __init__(
        self, group: ProcessGroup, registry: Registry, experiment: ControlExperiment, count: int
    ) -> None:
        self.count = count
        self._registry = registry
        self.processes: list[ManagedProcess] = []
        for first_sidecar in range(0, count, experiment.stubs_per_process):
            index = len(self.processes)
            discovery = registry.address(registry.stub_listener(index % len(STUB_HALVES), migrated=False))
            command = python_command(
                "scale.control.stub_process",
                *("--count", min(experiment.stubs_per_process, count - first_sidecar)),
                *("--discovery", format_address(discovery)),
                *("--zone", zone_name(index % experiment.zones)),
                *("--seed", experiment.seed + index),
            )
            self.processes.append(group.start(command, stdout=subprocess.PIPE))
        self._clients = [CommandClient(process.popen) for process in self.processes]

    def start(self, spread_s: float) -> None:
        """Start or restart all sidecars, spread over a time in seconds."""
        for client in self._clients:
            client.execute(StartSidecars(spread_s=spread_s))

    def migrate(self, migrated: bool) -> None:
        """Migrate all sidecars to their second registry address, or back to the first."""
        for index, client in enumerate(self._clients):
            listener = self._registry.stub_listener(index % len(STUB_HALVES), migrated)
            client.execute(MigrateDiscovery(address=self._registry.address(listener)))

    def have_applied(self, change: CommittedChange, halves: tuple[int, ...] = STUB_HALVES) -> bool:
        """Return whether all sidecars of these halves have applied a change."""
        progress = [
            client.request(GetProgress(change=change), Progress) for client in self._clients_of(halves)
        ]
        return all(each.applied == each.sidecars for each in progress)

    def delays(self, changes: list[CommittedChange], halves: tuple[int, ...] = STUB_HALVES) -> list[Delays]:
        """Return the times until the sidecars of these halves applied changes, one entry per process."""
        return [client.request(GetDelays(changes=changes), Delays) for client in self._clients_of(halves)]

    def _clients_of(self, halves: tuple[int, ...]) -> list[CommandClient]:
        return [client for index, client in enumerate(self._clients) if index % len(STUB_HALVES) in halves]


def real_sidecar_config(experiment: ControlExperiment, index: int, listen: Address) -> dict[str, Any]:
    """Return the configuration of a real sidecar, without the address of discovery."""
    return {
        "name": f"n{index}",
        "listen": format_address(listen),
        "seed": f"{experiment.seed + index:x}",
        "settings": sidecar_settings(zone_name(index % experiment.zones)),
    }


class RealSidecar:
    """One `python -m sidecar` process."""

    def __init__(
        self,
        group: ProcessGroup,
        registry: Registry,
        index: int,
        config: Mapping[str, Any],
        folder: Path,
    ) -> None:
        self._registry = registry
        self._index = index
        self._config = config
        self._folder = folder / f"sidecar-{index}"
        self._folder.mkdir()
        self.process = start_sidecar(group, self._config_at(migrated=False), self._folder)

    def _config_at(self, migrated: bool) -> dict[str, Any]:
        address = self._registry.address(self._registry.real_sidecar_listener(self._index, migrated))
        return {**self._config, "discovery": format_address(address)}

    def migrate(self, migrated: bool) -> None:
        """Migrate the sidecar to its second registry address, or back, by a reload of its configuration."""
        write_config(self._config_at(migrated), self._folder)
        self.process.popen.send_signal(signal.SIGHUP)


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Poll a condition; return whether it became true within `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(_POLL_INTERVAL_S)
    return True
