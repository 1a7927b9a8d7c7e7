"""Writes the measurements of one point: counts, cost, added latency, connections, conditions and sources."""

from __future__ import annotations

import os

import numpy as np

from scale.histogram import LatencyHistogram
from scale.latency.analysis import (
    PERCENTILES,
    SLOWEST_PERCENTILE,
    attribute_overhead,
    histogram_percentiles_us,
    pair_calls,
    parse_served_call,
    percentiles_us,
)
from scale.latency.experiment import LatencyExperiment, LatencyPoint
from scale.latency.point import PointOutcome
from scale.latency.tracing import Trace
from scale.results import LabelValue, ResultWriter

_MEBIBYTE = 1024 * 1024


def write_point_measurements(
    outcome: PointOutcome, experiment: LatencyExperiment, point: LatencyPoint, writer: ResultWriter
) -> None:
    """Write the measurements of one point."""
    _PointWriter(outcome, experiment, point, writer).write()


class _PointWriter:
    """Writes measurements with the labels of one point."""

    def __init__(
        self, outcome: PointOutcome, experiment: LatencyExperiment, point: LatencyPoint, writer: ResultWriter
    ) -> None:
        self._outcome = outcome
        self._budget_us = experiment.budget_ms * 1000
        self._writer = writer
        self._labels: dict[str, LabelValue] = point.model_dump(mode="json")
        self._sidecar_calls = [
            call for call in map(parse_served_call, outcome.results[::2]) if call is not None
        ]
        self._direct_calls = [
            call for call in map(parse_served_call, outcome.results[1::2]) if call is not None
        ]

    def _add(self, role: str, metric: str, value: float, unit: str, **labels: LabelValue) -> None:
        self._writer.add(role, metric, value, unit, self._labels | labels)

    def write(self) -> None:
        self._write_counts()
        self._write_cost()
        self._write_added_latency()
        self._write_connections()
        self._write_conditions()
        if self._outcome.trace is not None and self._sidecar_calls:
            self._write_sources(self._outcome.trace)

    def _write_counts(self) -> None:
        through_sidecar, direct = self._outcome.results[::2], self._outcome.results[1::2]
        self._add("sidecar", "calls", len(through_sidecar), "calls")
        self._add("sidecar", "calls not served", len(through_sidecar) - len(self._sidecar_calls), "calls")
        self._add("client", "direct calls", len(direct), "calls")
        self._add("client", "direct calls not served", len(direct) - len(self._direct_calls), "calls")
        before, after = self._outcome.counts_before, self._outcome.counts_after
        self._add("server", "requests", after.requests - before.requests, "requests")
        self._add("server", "overlapping requests", after.overlapping - before.overlapping, "requests")
        self._add("server", "new connections", after.connections - before.connections, "connections")

    def _write_cost(self) -> None:
        before, after = self._outcome.usage_before, self._outcome.usage_after
        cpu_s = after.cpu_s - before.cpu_s
        calls = max(len(self._outcome.results[::2]), 1)
        self._add("sidecar", "CPU a call", cpu_s / calls * 1e6, "us")
        self._add("sidecar", "CPU", cpu_s / (after.at_s - before.at_s) * 100, "% of a core")
        self._add("sidecar", "memory", after.memory_bytes / _MEBIBYTE, "MiB")

    def _write_added_latency(self) -> None:
        """Write the overheads, which are latencies without service times, and their differences."""
        pairs = pair_calls(self._outcome.results)
        if not pairs:
            return
        through_sidecar, direct = (
            histogram_percentiles_us(self._sidecar_calls),
            histogram_percentiles_us(self._direct_calls),
        )
        paired = percentiles_us([pair.added_us for pair in pairs])
        for percentile in PERCENTILES:
            self._add("sidecar", f"overhead p{percentile:g}", through_sidecar[percentile], "us")
            self._add("client", f"direct overhead p{percentile:g}", direct[percentile], "us")
            added_us = through_sidecar[percentile] - direct[percentile]
            self._add("sidecar", f"added p{percentile:g}, difference of quantiles", added_us, "us")
            self._add("sidecar", f"added p{percentile:g}, paired", paired[percentile], "us")
        pairs_within_budget = sum(pair.added_us <= self._budget_us for pair in pairs)
        self._add("sidecar", "pairs within the budget", pairs_within_budget / len(pairs) * 100, "%")

    def _write_connections(self) -> None:
        new = [call for call in self._sidecar_calls if call.is_on_new_connection]
        reused = [call for call in self._sidecar_calls if not call.is_on_new_connection]
        for name, group in (("new", new), ("kept", reused)):
            if group:
                self._add(
                    "sidecar",
                    "share of calls",
                    len(group) / len(self._sidecar_calls) * 100,
                    "%",
                    connection=name,
                )
                for percentile, value in histogram_percentiles_us(group).items():
                    self._add("sidecar", f"overhead p{percentile:g}", value, "us", connection=name)
        opened_connections = sum(call.result.opened_connection for call in self._sidecar_calls)
        self._add("client", "new connections to the sidecar", opened_connections, "connections")

    def _write_conditions(self) -> None:
        """Write the conditions of the measurement: the client's lag, and the machine's load and cores."""
        lag = self._outcome.lag
        for percentile in PERCENTILES:
            self._add("client", f"event loop lag p{percentile:g}", lag.percentile(percentile), "us")
        start_lag = LatencyHistogram([result.start_lag_us for result in self._outcome.results])
        self._add("client", "calls started late p99", start_lag.percentile(99.0), "us")
        for moment, load in zip(("before", "after"), self._outcome.load_averages, strict=True):
            self._add("machine", "load average", load, "processes", moment=moment)
        self._add("machine", "cores", os.cpu_count() or 0, "cores")

    def _write_sources(self, trace: Trace) -> None:
        """Write the sources of the overhead of calls through the sidecar, in particular of the slowest."""
        overhead = np.array([call.overhead_us for call in self._sidecar_calls])
        slowest = overhead >= np.percentile(overhead, SLOWEST_PERCENTILE)
        sources = attribute_overhead(self._sidecar_calls, trace)
        for percentile, value in percentiles_us(sources.event_loop_cpu()).items():
            self._add("sidecar", f"event loop CPU while a call waits p{percentile:g}", value, "us")
        for source, times in sources.by_name().items():
            self._add("sidecar", "mean time of all calls", float(times.mean()), "us", source=source)
            mean_us = float(times[slowest].mean())
            self._add("sidecar", "mean time of the slowest 1 in 100", mean_us, "us", source=source)
            p99_without_us = float(np.percentile(overhead - times, SLOWEST_PERCENTILE))
            self._add("sidecar", "overhead p99 without it", p99_without_us, "us", source=source)
        new = np.array([call.is_on_new_connection for call in self._sidecar_calls], dtype=bool)
        share_percent = float(new[slowest].mean()) * 100
        self._add("sidecar", "share on a new connection of the slowest 1 in 100", share_percent, "%")
        self._add("sidecar", "garbage collections", trace.collection_count, "collections")
        self._add("sidecar", "registry calls timed", trace.registry_count, "calls")
