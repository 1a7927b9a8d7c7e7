"""Injects faults into a call graph."""

from __future__ import annotations

from scale.callgraph.experiment import Fault, FaultKind
from scale.callgraph.graph import CallGraph, Service
from scale.callgraph.loop import MICROSECONDS_PER_SECOND, VirtualEventLoop
from sidecar.balancer.events import RegistryUpdateKind


def schedule_fault(loop: VirtualEventLoop, graph: CallGraph, fault: Fault) -> None:
    """Schedule the start and the end of a fault in virtual time."""
    if fault.kind is FaultKind.NONE:
        return
    loop.call_at(int(fault.begin_s * MICROSECONDS_PER_SECOND), _begin_fault, graph, fault)
    loop.call_at(int(fault.end_s * MICROSECONDS_PER_SECOND), _end_fault, graph, fault)


def _begin_fault(graph: CallGraph, fault: Fault) -> None:
    location = graph.locations[0]
    match fault.kind:
        case FaultKind.ERRORS:
            _set_error_share(graph.service_at(fault.depth), fault.share)
        case FaultKind.SERVICE_LOST:
            _stop_servers(graph.service_at(fault.depth))
        case FaultKind.ZONE_LOST:
            graph.network.partitioned_zones.add(location.zone)
        case FaultKind.REGION_CUT:
            graph.network.partitioned_regions.add(location.region)


def _end_fault(graph: CallGraph, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.ERRORS:
            _set_error_share(graph.service_at(fault.depth), 0.0)
        case FaultKind.SERVICE_LOST:
            _start_servers(graph.service_at(fault.depth))
        case FaultKind.ZONE_LOST:
            graph.network.partitioned_zones.clear()
        case FaultKind.REGION_CUT:
            graph.network.partitioned_regions.clear()


def _set_error_share(service: Service, share: float) -> None:
    for server in service.servers.values():
        server.error_share = share


def _stop_servers(service: Service) -> None:
    for server in service.servers.values():
        server.stop()
        for caller in service.callers:
            caller.reset_connections(server)


def _start_servers(service: Service) -> None:
    for server in service.servers.values():
        server.start()
    service.notify_callers(RegistryUpdateKind.DELTA)
