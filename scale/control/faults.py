"""The faults of an experiment on control: what each does, and which changes it is measured by."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from scale.control.experiment import Fault, FaultKind
from scale.control.measure import Fleet
from scale.control.processes import HALVES
from scale.standins.fleet import zone_name
from scale.standins.registry_commands import (
    ChangeEndpoints,
    Committed,
    ForgetChanges,
    SetAvailability,
    SetSilent,
    StrandConnections,
)
from scale.standins.registry_state import Availability

_CUT_OFF = 1  # the half of the stub sidecars that is cut off


@dataclass(frozen=True, slots=True)
class FaultOutcome:
    """What a fault is measured by: the time from each of these until it is in force."""

    changes: list[Committed]
    halves: tuple[int, ...] = HALVES  # of the stub sidecars that it was about
    with_real: bool = True  # whether it was about the real sidecars, too


def carry_out(fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    """Let a fault happen and end."""
    return _CARRY_OUT[fault.kind](fault, fleet, chooser)


def _restart_one(fleet: Fleet, chooser: random.Random) -> Committed:
    index = chooser.randrange(len(fleet.registry.endpoints))
    return fleet.registry.change(ChangeEndpoints(change="restart", indexes=[index]))


def _now(fleet: Fleet) -> Committed:
    """The present version, as if it had been committed now."""
    return Committed(version=fleet.registry.counts().version, at_s=time.monotonic())


def _outage(fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    """Discovery is gone; a change falls into the outage, and its time counts from discovery's return."""
    is_overload = fault.kind is FaultKind.DISCOVERY_OVERLOADED
    gone = Availability.OVERLOADED if is_overload else Availability.DOWN
    client = fleet.registry.client
    client.tell(SetAvailability(availability=gone))
    time.sleep(fault.lasts_s / 2)
    _restart_one(fleet, chooser)
    time.sleep(fault.lasts_s / 2)
    if fault.kind is FaultKind.DISCOVERY_RESTARTED:
        client.tell(ForgetChanges())
    back = _now(fleet)
    client.tell(SetAvailability(availability=Availability.UP))
    return FaultOutcome([back])


def _moved(_fault: Fault, fleet: Fleet, _chooser: random.Random) -> FaultOutcome:
    moved = _now(fleet)
    fleet.move_discovery()
    return FaultOutcome([moved])


def _failed_over(_fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    """Another machine takes discovery's address over: nobody hears of a change on an open connection."""
    fleet.registry.client.tell(StrandConnections())
    return FaultOutcome([_restart_one(fleet, chooser)])


def _zone_lost(fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    return _zones_lost(fault, fleet, {chooser.choice(fleet.registry.endpoints).zone})


def _region_lost(fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    experiment = fleet.experiment
    region = chooser.randrange(experiment.regions)
    zones = {zone_name(index) for index in range(region, experiment.zones, experiment.regions)}
    return _zones_lost(fault, fleet, zones)


def _zones_lost(fault: Fault, fleet: Fleet, zones: Collection[str]) -> FaultOutcome:
    """All servers of some zones leave in one change, and come back in another."""
    endpoints = fleet.registry.endpoints
    indexes = [index for index, endpoint in enumerate(endpoints) if endpoint.zone in zones]
    lost = fleet.registry.change(ChangeEndpoints(change="remove", indexes=indexes))
    time.sleep(fault.lasts_s)
    back = fleet.registry.change(ChangeEndpoints(change="add", indexes=indexes))
    return FaultOutcome([lost, back])


def _release(fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    """Each server of a service drains, leaves and comes back; spread over the fault's time."""
    service = chooser.choice(fleet.registry.endpoints).group
    indexes = [index for index, each in enumerate(fleet.registry.endpoints) if each.group == service]
    began, changes = time.monotonic(), []
    steps = [(index, step) for index in indexes for step in ("drain", "remove", "add")]
    for number, (index, step) in enumerate(steps):
        time.sleep(max(began + fault.lasts_s * number / len(steps) - time.monotonic(), 0.0))
        command = ChangeEndpoints.model_validate({"change": step, "indexes": [index]})
        changes.append(fleet.registry.change(command))
    return FaultOutcome(changes)


def _sidecars_restarted(fault: Fault, fleet: Fleet, _chooser: random.Random) -> FaultOutcome:
    restarted = _now(fleet)
    fleet.stubs.start(fault.lasts_s)
    return FaultOutcome([restarted], with_real=False)


def _sidecars_cut_off(fault: Fault, fleet: Fleet, chooser: random.Random) -> FaultOutcome:
    """A change falls into the time of silence; for those who were cut off it counts from the end of it."""
    client = fleet.registry.client
    listener = fleet.registry.stub_listener(_CUT_OFF, fleet.moved)
    client.tell(SetSilent(listener=listener, silent=True))
    time.sleep(fault.lasts_s / 2)
    _restart_one(fleet, chooser)
    time.sleep(fault.lasts_s / 2)
    back = _now(fleet)
    client.tell(SetSilent(listener=listener, silent=False))
    return FaultOutcome([back], halves=(_CUT_OFF,), with_real=False)


_CARRY_OUT: Mapping[FaultKind, Callable[[Fault, Fleet, random.Random], FaultOutcome]] = {
    FaultKind.DISCOVERY_DOWN: _outage,
    FaultKind.DISCOVERY_RESTARTED: _outage,
    FaultKind.DISCOVERY_OVERLOADED: _outage,
    FaultKind.DISCOVERY_MOVED: _moved,
    FaultKind.DISCOVERY_FAILED_OVER: _failed_over,
    FaultKind.REGION_LOST: _region_lost,
    FaultKind.ZONE_LOST: _zone_lost,
    FaultKind.RELEASE: _release,
    FaultKind.SIDECARS_RESTARTED: _sidecars_restarted,
    FaultKind.SIDECARS_CUT_OFF: _sidecars_cut_off,
}
