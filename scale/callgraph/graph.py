"""The call graph: a chain of services, a sidecar beside each server, and root callers at the top."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from scale.callgraph.experiment import CallGraphExperiment, PolicyName, SlowStart
from scale.callgraph.loop import MICROSECONDS_PER_SECOND, VirtualEventLoop
from scale.callgraph.network import Location, Network
from scale.callgraph.policies import make_policy
from scale.callgraph.server import SimulatedServer
from scale.callgraph.sidecar import SimulatedSidecar, UpstreamService
from sidecar.balancer.events import Endpoint, RegistryUpdateKind
from sidecar.settings import Discovery, Idempotency, Limits, Rules, ServiceClass, Settings

_SERVICE_CLASS = "call"
_TICK_US = 1_000
_SEED_BITS = 63
_DIAL_TIMEOUT_US = 120_000


@dataclass(slots=True, eq=False)
class Service:
    """One service: its servers, and the sidecars that call it."""

    depth: int  # 1 for the service that the root callers call
    servers: dict[str, SimulatedServer]
    callers: list[SimulatedSidecar]

    def calls_received(self) -> int:
        """Return the number of calls that its servers have received, including rejected ones."""
        return sum(server.calls_received for server in self.servers.values())

    def endpoints(self) -> list[Endpoint]:
        """Return its registry entries.

        The entries reflect restarts, but no faults: stopped and partitioned servers stay listed.
        """
        return [
            Endpoint(server.name, server.location.zone, started_at=server.started_at)
            for server in self.servers.values()
        ]

    def notify_callers(self, kind: RegistryUpdateKind) -> None:
        """Send a registry update with its servers to all its callers."""
        for caller in self.callers:
            caller.update_registry(kind, self.endpoints())


class CallGraph:
    """A chain of services, from 1 to `depth`; each server calls the next service through its own sidecar."""

    def __init__(
        self,
        loop: VirtualEventLoop,
        experiment: CallGraphExperiment,
        depth: int,
        policy: PolicyName,
        seed: int,
    ) -> None:
        self.network = Network(experiment.delays)
        self.locations = _make_locations(experiment)
        self._loop = loop
        self._experiment = experiment
        self._policy = policy
        self._seeds = _spawn_seeds(np.random.SeedSequence(seed))
        self.services = [self._make_service(service_depth) for service_depth in range(1, depth + 1)]
        for caller, callee in zip(self.services, self.services[1:], strict=False):
            for server in caller.servers.values():
                server.downstream = [self._make_sidecar(server.location, callee)] * experiment.fan_out
        self.root_callers = [
            self._make_sidecar(self.locations[index % len(self.locations)], self.services[0])
            for index in range(experiment.root_callers)
        ]
        for service in self.services:
            service.notify_callers(RegistryUpdateKind.SNAPSHOT)

    def service_at(self, depth: int) -> Service:
        """Return the service at a depth; 0 means the deepest service."""
        return self.services[depth - 1]

    def _make_service(self, depth: int) -> Service:
        servers = {}
        for index in range(self._experiment.servers.count):
            # Services start at different locations, so that their first servers aren't all in the same zone.
            location = self.locations[(index + depth) % len(self.locations)]
            name = f"service-{depth}-server-{index}"
            servers[name] = SimulatedServer(
                self._loop, name, location, self._experiment.servers, next(self._seeds)
            )
        return Service(depth, servers, [])

    def _make_sidecar(self, location: Location, service: Service) -> SimulatedSidecar:
        settings = _make_settings(self._experiment, location)
        seed = int(next(self._seeds).generate_state(1, np.uint64)[0]) >> (64 - _SEED_BITS)
        policy = make_policy(self._policy, settings, seed)
        upstream = UpstreamService(service.servers, _SERVICE_CLASS, settings.limits.dial_timeout_us)
        sidecar = SimulatedSidecar(self._loop, self.network, location, policy, upstream)
        service.callers.append(sidecar)
        return sidecar


def _spawn_seeds(root: np.random.SeedSequence) -> Iterator[np.random.SeedSequence]:
    while True:
        yield root.spawn(1)[0]


def _make_locations(experiment: CallGraphExperiment) -> list[Location]:
    return [
        Location(f"region-{region}", f"region-{region}-zone-{zone}")
        for zone in range(experiment.zones_per_region)
        for region in range(experiment.regions)
    ]


def _make_settings(experiment: CallGraphExperiment, location: Location) -> Settings:
    calls = experiment.calls
    service_class = ServiceClass(
        _SERVICE_CLASS,
        deadline_us=calls.deadline_ms * 1_000,
        latency_target_us=min(calls.latency_target_ms, calls.deadline_ms) * 1_000,
        idempotency=Idempotency.SAFE if calls.repeatable else Idempotency.UNSAFE,
    )
    return Settings(
        classes=(service_class,),
        zone=location.zone,
        tick_us=_TICK_US,
        discovery=Discovery.PUSHED,
        rules=_make_rules(experiment.slow_start),
        limits=Limits(max_attempts=calls.max_attempts, allow_cancel=True, dial_timeout_us=_DIAL_TIMEOUT_US),
    )


def _make_rules(slow_start: SlowStart) -> Rules:
    return Rules(
        slow_start_from=slow_start.from_share,
        slow_start_us=int(slow_start.duration_s * MICROSECONDS_PER_SECOND),
        overload_multiple=slow_start.overload_multiple,
        overload_window_us=int(slow_start.overload_window_s * MICROSECONDS_PER_SECOND),
    )
