"""Runs one call graph, from its start to its end."""

from __future__ import annotations

import hashlib
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass

from scale.callgraph.experiment import CallGraphExperiment, Fault, FaultKind, PolicyName
from scale.callgraph.faults import schedule_fault
from scale.callgraph.graph import CallGraph
from scale.callgraph.loop import EventLoop
from scale.callgraph.measure import RootCallRecorder, Shares, to_us
from scale.callgraph.root_load import RootLoad


@dataclass(frozen=True, slots=True)
class Point:
    """One run of a sweep."""

    depth: int
    load: float
    fault: Fault
    policy: PolicyName
    seed: int


@dataclass(frozen=True, slots=True)
class Spans:
    """The times of a run that are measured, in microseconds: before, during and after the fault."""

    begin: int
    before_end: int
    fault_begin: int
    fault_end: int
    end: int


@dataclass(frozen=True, slots=True)
class CallGraphRun:
    """What one run measured."""

    spans: Spans
    recorder: RootCallRecorder
    received_during: list[int]  # calls that each service received during the fault
    digest: str  # of all root calls and of all services' counts

    def calls_per_root_call(self) -> list[float]:
        """Calls that each service received during the fault, for each root call of that time."""
        offered = self.recorder.shares(self.spans.fault_begin, self.spans.fault_end).offered
        return [received / max(offered, 1) for received in self.received_during]

    def during(self) -> Shares:
        """The root calls offered during the fault; all that are measured where there is none."""
        return self.recorder.shares(self.spans.fault_begin, self.spans.fault_end)

    def before(self) -> Shares:
        """The root calls offered between the warm-up and the fault, whose time is up when it begins."""
        return self.recorder.shares(self.spans.begin, self.spans.before_end)

    def after(self) -> Shares:
        """The root calls offered after the fault whose time is up by the end of the run."""
        return self.recorder.shares(self.spans.fault_end, self.spans.end)

    def recovery_us(self) -> int | None:
        """Time from the fault's end until goodput is back; None if it is not."""
        return self.recorder.recovery_us(self.before().goodput, self.spans.fault_end, self.spans.end)


def run_point(experiment: CallGraphExperiment, point: Point) -> CallGraphRun:
    """Run one call graph from its start to its end."""
    loop = EventLoop()
    graph = CallGraph(loop, experiment, point.depth, point.policy, point.seed)
    load = RootLoad(
        loop, graph, _root_rate(experiment, point), experiment.calls.deadline_ms * 1_000, point.seed
    )
    spans = _spans(experiment, point.fault)
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


def _root_rate(experiment: CallGraphExperiment, point: Point) -> float:
    """Root calls a second: a part of what the service with the most calls for each of them can serve."""
    servers = experiment.servers
    served_per_s = servers.count * servers.concurrency * 1_000.0 / servers.service_time_ms
    return point.load * served_per_s / math.pow(experiment.fan_out, point.depth - 1)


def _spans(experiment: CallGraphExperiment, fault: Fault) -> Spans:
    """Root calls whose time is not up at the end of the run are not counted."""
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
    """All runs of an experiment."""
    fault = experiment.fault
    shares = experiment.fault_shares or [fault.share]
    seeds = range(experiment.seed, experiment.seed + experiment.seeds)
    for policy, depth, load, share, seed in itertools.product(
        experiment.policies, experiment.depths, experiment.loads, shares, seeds
    ):
        yield Point(depth, load, fault.model_copy(update={"share": share}), policy, seed)
