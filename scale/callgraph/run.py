"""Runs one point of a sweep: one call graph with one load, fault, policy and seed."""

from __future__ import annotations

import hashlib
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass

from scale.callgraph.experiment import CallGraphExperiment, Fault, FaultKind, PolicyName
from scale.callgraph.faults import schedule_fault
from scale.callgraph.graph import CallGraph
from scale.callgraph.loop import VirtualEventLoop
from scale.callgraph.measure import OutcomeShares, RootCallRecorder, to_us
from scale.callgraph.root_load import RootLoad


@dataclass(frozen=True, slots=True)
class Point:
    """The parameters of one run of a sweep."""

    depth: int
    load: float
    fault: Fault
    policy: PolicyName
    seed: int


@dataclass(frozen=True, slots=True)
class Spans:
    """The measured windows of a run: before, during and after the fault.

    All times are in microseconds since the start of the run. Without a fault, the window during the
    fault covers all measured time.
    """

    begin: int
    before_end: int
    fault_begin: int
    fault_end: int
    end: int


@dataclass(frozen=True, slots=True)
class CallGraphRun:
    """The measurements of one run."""

    spans: Spans
    recorder: RootCallRecorder
    received_during_fault: list[int]  # calls that each service received during the fault
    digest: str  # SHA-256 of the root calls and of each server's count of calls

    def calls_per_root_call(self) -> list[float]:
        """Return the calls that each service received during the fault, per root call offered then."""
        offered = self.recorder.shares(self.spans.fault_begin, self.spans.fault_end).offered
        return [received / max(offered, 1) for received in self.received_during_fault]

    def shares_during_fault(self) -> OutcomeShares:
        """Return the outcomes of the root calls offered during the fault, or of all if there is no fault."""
        return self.recorder.shares(self.spans.fault_begin, self.spans.fault_end)

    def shares_before_fault(self) -> OutcomeShares:
        """Return the outcomes of the root calls offered after warm-up whose deadline is before the fault."""
        return self.recorder.shares(self.spans.begin, self.spans.before_end)

    def shares_after_fault(self) -> OutcomeShares:
        """Return the outcomes of the root calls offered after the fault whose deadline is before the end."""
        return self.recorder.shares(self.spans.fault_end, self.spans.end)

    def recovery_us(self) -> int | None:
        """Return the microseconds from the fault's end to recovery, or None if goodput did not recover."""
        return self.recorder.recovery_us(
            self.shares_before_fault().goodput, self.spans.fault_end, self.spans.end
        )


def run_point(experiment: CallGraphExperiment, point: Point) -> CallGraphRun:
    """Run one call graph from its start to its end."""
    loop = VirtualEventLoop()
    graph = CallGraph(loop, experiment, point.depth, point.policy, point.seed)
    load = RootLoad(
        loop, graph, _root_calls_per_s(experiment, point), experiment.calls.deadline_ms * 1_000, point.seed
    )
    spans = _measured_spans(experiment, point.fault)
    schedule_fault(loop, graph, point.fault)
    load.schedule_next()
    loop.run_until(spans.fault_begin)
    received_before = [service.calls_received() for service in graph.services]
    loop.run_until(spans.fault_end)
    received_after = [service.calls_received() for service in graph.services]
    loop.run_until(to_us(experiment.duration_s))
    return CallGraphRun(
        spans,
        load.recorder,
        [after - before for after, before in zip(received_after, received_before, strict=True)],
        _digest(load.recorder, graph),
    )


def _root_calls_per_s(experiment: CallGraphExperiment, point: Point) -> float:
    """Return the root calls per second that put the load on the deepest service, which has the most calls."""
    servers = experiment.servers
    capacity_per_s = servers.count * servers.concurrency * 1_000.0 / servers.service_time_ms
    return point.load * capacity_per_s / math.pow(experiment.fan_out, point.depth - 1)


def _measured_spans(experiment: CallGraphExperiment, fault: Fault) -> Spans:
    """Return the measured windows, without root calls whose deadline is after the end of the run."""
    begin, end = to_us(experiment.warm_up_s), to_us(experiment.duration_s)
    deadline_us = experiment.calls.deadline_ms * 1_000
    end -= deadline_us
    if fault.kind is FaultKind.NONE:
        return Spans(begin, begin, begin, end, end)
    fault_begin = to_us(fault.begin_s)
    return Spans(begin, fault_begin - deadline_us, fault_begin, to_us(fault.end_s), end)


def _digest(recorder: RootCallRecorder, graph: CallGraph) -> str:
    digest = hashlib.sha256()
    for call in recorder.calls:
        digest.update(f"{call.offered_at} {call.ended_at} {call.result}\n".encode())
    for service in graph.services:
        for server in service.servers.values():
            digest.update(f"{server.name} {server.calls_received}\n".encode())
    return digest.hexdigest()


def points(experiment: CallGraphExperiment) -> Iterator[Point]:
    """Yield a point for each combination of the swept keys."""
    fault = experiment.fault
    shares = experiment.fault_shares or [fault.share]
    seeds = range(experiment.seed, experiment.seed + experiment.seeds)
    for policy, depth, load, share, seed in itertools.product(
        experiment.policies, experiment.depths, experiment.loads, shares, seeds
    ):
        yield Point(depth, load, fault.model_copy(update={"share": share}), policy, seed)
