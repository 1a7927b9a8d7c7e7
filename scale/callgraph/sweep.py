"""Runs all points of an experiment on call graphs, and writes their results."""

from __future__ import annotations

from collections.abc import Mapping

import structlog

from scale.callgraph.experiment import CallGraphExperiment, FaultKind
from scale.callgraph.loop import MICROSECONDS_PER_SECOND
from scale.callgraph.measure import OutcomeShares
from scale.callgraph.run import CallGraphRun, Point, points, run_point
from scale.results import LabelValue, ResultWriter

_ROLE = "call graph"

log = structlog.get_logger()


def run_call_graphs(experiment: CallGraphExperiment, writer: ResultWriter) -> None:
    """Run all points of an experiment, and write the results of each point when it ends."""
    all_points = list(points(experiment))
    for number, point in enumerate(all_points, start=1):
        run = run_point(experiment, point)
        _write_results(writer, point, run)
        log.info(
            "point measured",
            number=number,
            of=len(all_points),
            policy=point.policy.value,
            depth=point.depth,
            load=point.load,
            share=point.fault.share,
            seed=point.seed,
        )


def _make_labels(point: Point) -> dict[str, LabelValue]:
    labels: dict[str, LabelValue] = {
        "policy": point.policy.value,
        "depth": point.depth,
        "load": point.load,
        "fault": point.fault.kind.value,
        "point_seed": point.seed,
    }
    if point.fault.kind is FaultKind.ERRORS:
        labels["fault_share"] = point.fault.share
    return labels


def _write_results(writer: ResultWriter, point: Point, run: CallGraphRun) -> None:
    labels = _make_labels(point)
    per_root_call = run.calls_per_root_call()
    writer.add(_ROLE, "calls on the deepest service", per_root_call[-1], "calls/root call", labels)
    writer.add(_ROLE, "calls on the busiest service", max(per_root_call), "calls/root call", labels)
    _write_shares(writer, "during", run.shares_during_fault(), labels)
    if point.fault.kind is FaultKind.NONE:
        return
    _write_shares(writer, "before", run.shares_before_fault(), labels)
    _write_shares(writer, "after", run.shares_after_fault(), labels)
    _write_recovery(writer, run, labels)


def _write_shares(
    writer: ResultWriter, span: str, shares: OutcomeShares, labels: Mapping[str, LabelValue]
) -> None:
    labels = {**labels, "span": span}
    writer.add(_ROLE, "root calls offered", shares.offered, "calls", labels)
    writer.add(_ROLE, "goodput", shares.goodput, "part of offered", labels)
    writer.add(_ROLE, "refused", shares.shed, "part of offered", labels)
    writer.add(_ROLE, "failed", shares.failed, "part of offered", labels)


def _write_recovery(writer: ResultWriter, run: CallGraphRun, labels: Mapping[str, LabelValue]) -> None:
    """Write the time to recover.

    Without recovery, this is the time until the end of the run, with the label `recovered=False`.
    """
    recovery_us = run.recovery_us()
    recovered = recovery_us is not None
    value_us = run.spans.end - run.spans.fault_end if recovery_us is None else recovery_us
    writer.add(
        _ROLE, "time to recover", value_us / MICROSECONDS_PER_SECOND, "s", {**labels, "recovered": recovered}
    )
