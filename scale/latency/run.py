"""Runs latency experiments, point by point."""

from __future__ import annotations

import structlog

from scale.latency.experiment import LatencyExperiment
from scale.latency.measurements import write_point_measurements
from scale.latency.point import measure_point
from scale.results import ResultWriter

log = structlog.get_logger()


def run_latency(experiment: LatencyExperiment, writer: ResultWriter) -> None:
    """Measure each point with a sidecar and servers of its own."""
    for number, point in enumerate(experiment.points):
        log.info(
            "point started", number=number + 1, of=len(experiment.points), **point.model_dump(mode="json")
        )
        write_point_measurements(measure_point(experiment, point), experiment, point, writer)
