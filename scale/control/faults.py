"""Injects the faults of a control plane experiment."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from scale.control.experiment import Fault, FaultKind
from scale.control.fleet import Fleet
from scale.control.processes import STUB_HALVES
from scale.standins.fleet import zone_name
from scale.standins.registry_commands import (
    BlackholeConnections,
    ChangeEndpoints,
    CommittedChange,
    DropChangeLog,
    SetAvailability,
    SetPartitioned,
)
from scale.standins.registry_state import Availability

_PARTITIONED_HALF = 1  # the half of the stub sidecars that a partition affects


@dataclass(frozen=True, slots=True)
class FaultOutcome:
    """The changes whose propagation times measure the recovery from a fault, and the affected sidecars."""

    changes: list[CommittedChange]
    affected_halves: tuple[int, ...] = STUB_HALVES  # halves of the stub sidecars
    affects_real_sidecars: bool = True


def inject_fault(fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    """Inject a fault and end it; returns after the fault's `lasts_s`."""
    return _INJECTORS[fault.kind](fault, fleet, rng)


def _restart_random_server(fleet: Fleet, rng: random.Random) -> CommittedChange:
    index = rng.randrange(len(fleet.registry.endpoints))
    return fleet.registry.change(ChangeEndpoints(change="restart", indexes=[index]))


def _current_version(fleet: Fleet) -> CommittedChange:
    """Return the current version, as if it had been committed now."""
    return CommittedChange(version=fleet.registry.counts().version, at_s=time.monotonic())


def _take_discovery_down(fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    """Take discovery down or overload it.

    A change is committed during the fault; its propagation is measured from the end of the fault.
    """
    is_overload = fault.kind is FaultKind.DISCOVERY_OVERLOADED
    availability = Availability.OVERLOADED if is_overload else Availability.DOWN
    client = fleet.registry.client
    client.execute(SetAvailability(availability=availability))
    time.sleep(fault.lasts_s / 2)
    _restart_random_server(fleet, rng)
    time.sleep(fault.lasts_s / 2)
    if fault.kind is FaultKind.DISCOVERY_RESTARTED:
        client.execute(DropChangeLog())
    version_at_end = _current_version(fleet)
    client.execute(SetAvailability(availability=Availability.UP))
    return FaultOutcome([version_at_end])


def _migrate_discovery(_fault: Fault, fleet: Fleet, _rng: random.Random) -> FaultOutcome:
    version_at_migration = _current_version(fleet)
    fleet.migrate_discovery()
    return FaultOutcome([version_at_migration])


def _fail_over_discovery(_fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    """Fail discovery's address over to another machine: open connections no longer carry data."""
    fleet.registry.client.execute(BlackholeConnections())
    return FaultOutcome([_restart_random_server(fleet, rng)])


def _lose_zone(fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    return _lose_zones(fault, fleet, {rng.choice(fleet.registry.endpoints).zone})


def _lose_region(fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    experiment = fleet.experiment
    region = rng.randrange(experiment.regions)
    zones = {zone_name(index) for index in range(region, experiment.zones, experiment.regions)}
    return _lose_zones(fault, fleet, zones)


def _lose_zones(fault: Fault, fleet: Fleet, zones: Collection[str]) -> FaultOutcome:
    """Remove all servers of some zones in one change, and re-add them in another."""
    endpoints = fleet.registry.endpoints
    indexes = [index for index, endpoint in enumerate(endpoints) if endpoint.zone in zones]
    removal = fleet.registry.change(ChangeEndpoints(change="remove", indexes=indexes))
    time.sleep(fault.lasts_s)
    restoration = fleet.registry.change(ChangeEndpoints(change="add", indexes=indexes))
    return FaultOutcome([removal, restoration])


def _perform_rolling_restart(fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    """Drain, remove and re-add each server of a service in turn, spread over the fault's duration.

    The servers of a service are the endpoints of one group.
    """
    service = rng.choice(fleet.registry.endpoints).group
    indexes = [index for index, endpoint in enumerate(fleet.registry.endpoints) if endpoint.group == service]
    started_at, changes = time.monotonic(), []
    steps = [(index, step) for index in indexes for step in ("drain", "remove", "add")]
    for step_number, (index, step) in enumerate(steps):
        time.sleep(max(started_at + fault.lasts_s * step_number / len(steps) - time.monotonic(), 0.0))
        command = ChangeEndpoints.model_validate({"change": step, "indexes": [index]})
        changes.append(fleet.registry.change(command))
    return FaultOutcome(changes)


def _restart_sidecars(fault: Fault, fleet: Fleet, _rng: random.Random) -> FaultOutcome:
    version_at_restart = _current_version(fleet)
    fleet.stubs.start(fault.lasts_s)
    return FaultOutcome([version_at_restart], affects_real_sidecars=False)


def _partition_sidecars(fault: Fault, fleet: Fleet, rng: random.Random) -> FaultOutcome:
    """Partition half of the stub sidecars.

    A change is committed during the partition; its propagation is measured from the end of the partition.
    """
    client = fleet.registry.client
    listener = fleet.registry.stub_listener(_PARTITIONED_HALF, fleet.migrated)
    client.execute(SetPartitioned(listener=listener, partitioned=True))
    time.sleep(fault.lasts_s / 2)
    _restart_random_server(fleet, rng)
    time.sleep(fault.lasts_s / 2)
    version_at_end = _current_version(fleet)
    client.execute(SetPartitioned(listener=listener, partitioned=False))
    return FaultOutcome([version_at_end], affected_halves=(_PARTITIONED_HALF,), affects_real_sidecars=False)


_INJECTORS: Mapping[FaultKind, Callable[[Fault, Fleet, random.Random], FaultOutcome]] = {
    FaultKind.DISCOVERY_DOWN: _take_discovery_down,
    FaultKind.DISCOVERY_RESTARTED: _take_discovery_down,
    FaultKind.DISCOVERY_OVERLOADED: _take_discovery_down,
    FaultKind.DISCOVERY_MOVED: _migrate_discovery,
    FaultKind.DISCOVERY_FAILED_OVER: _fail_over_discovery,
    FaultKind.REGION_LOST: _lose_region,
    FaultKind.ZONE_LOST: _lose_zone,
    FaultKind.RELEASE: _perform_rolling_restart,
    FaultKind.SIDECARS_RESTARTED: _restart_sidecars,
    FaultKind.SIDECARS_CUT_OFF: _partition_sidecars,
}
