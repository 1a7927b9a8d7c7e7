"""Writes the measurements of a control plane experiment: resource usage and propagation times of changes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

from scale.control.fleet import Fleet, Reading
from scale.control.stub_commands import Delays
from scale.histogram import LatencyHistogram
from scale.processes import ResourceUsage
from scale.results import LabelValue, ResultWriter
from scale.standins.registry_commands import ObservedDelays
from scale.standins.tcp_info import SEGMENT_HEADER_BYTES

PERCENTILES = (50.0, 99.0, 100.0)
STUB_ROLE = "hollow sidecar"  # the name of a stub sidecar in stored results
STUB_PROCESS_ROLE = "hollow process"

Labels = Mapping[str, LabelValue]


def _cores_used(before: ResourceUsage, after: ResourceUsage) -> float:
    return (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)


@dataclass(frozen=True, slots=True)
class Traffic:
    """The traffic between the registry and all sidecars in a time window."""

    duration_s: float
    calls: int
    connections: int
    http_bytes: int
    segments: float  # TCP segments, estimated from the sampled connections

    @property
    def wire_bytes(self) -> float:
        """The HTTP bytes and the TCP and IP headers."""
        return self.http_bytes + self.segments * SEGMENT_HEADER_BYTES


def traffic_between(before: Reading, after: Reading) -> Traffic:
    """Return the traffic between two readings."""
    first, last = before.registry_counts, after.registry_counts
    connections = last.connections - first.connections
    sampled = last.sampled_connections - first.sampled_connections
    segments_per_connection = (last.sampled_segments - first.sampled_segments) / sampled if sampled else 0.0
    return Traffic(
        duration_s=after.registry.at_s - before.registry.at_s,
        calls=last.calls - first.calls,
        connections=connections,
        http_bytes=last.bytes_in + last.bytes_out - first.bytes_in - first.bytes_out,
        segments=connections * segments_per_connection,
    )


def write_usage(writer: ResultWriter, fleet: Fleet, before: Reading, after: Reading, labels: Labels) -> None:
    """Write the resource usage and traffic of each role in a time window."""
    traffic = traffic_between(before, after)
    writer.add("discovery", "cpu", _cores_used(before.registry, after.registry), "cores", labels)
    writer.add("discovery", "memory", after.registry.memory_bytes, "bytes", labels)
    writer.add("discovery", "calls", traffic.calls / traffic.duration_s, "1/s", labels)
    writer.add("discovery", "http bytes", traffic.http_bytes / traffic.duration_s, "bytes/s", labels)
    writer.add(
        "discovery",
        "snapshots",
        after.registry_counts.snapshots - before.registry_counts.snapshots,
        "answers",
        labels,
    )
    writer.add(
        "discovery",
        "refused",
        after.registry_counts.unavailable - before.registry_counts.unavailable,
        "answers",
        labels,
    )
    stub_cores = sum(map(_cores_used, before.stub_processes, after.stub_processes)) / fleet.stubs.count
    writer.add(STUB_ROLE, "cpu", stub_cores, "cores", labels)
    busiest_cores = max(map(_cores_used, before.stub_processes, after.stub_processes))
    # A process that uses nearly one core delays its own sidecars.
    writer.add(STUB_PROCESS_ROLE, "cpu, largest", busiest_cores, "cores", labels)
    if fleet.real_sidecars:
        _write_real_sidecar_usage(writer, before, after, traffic.duration_s, labels)
    sidecar_seconds = traffic.duration_s * fleet.sidecar_count
    writer.add("sidecar", "http bytes", traffic.http_bytes / sidecar_seconds, "bytes/s", labels)
    writer.add("sidecar", "wire bytes", traffic.wire_bytes / sidecar_seconds, "bytes/s", labels)
    writer.add(
        "sidecar", "http bytes in the window", traffic.http_bytes / fleet.sidecar_count, "bytes", labels
    )
    writer.add("sidecar", "calls", traffic.calls / sidecar_seconds, "1/s", labels)
    writer.add("sidecar", "connections", traffic.connections / sidecar_seconds, "1/s", labels)


def _write_real_sidecar_usage(
    writer: ResultWriter, before: Reading, after: Reading, duration_s: float, labels: Labels
) -> None:
    role = "real sidecar"
    cores = list(map(_cores_used, before.real_sidecars, after.real_sidecars))
    memory = [usage.memory_bytes for usage in after.real_sidecars]
    calls = after.real_sidecar_traffic.calls - before.real_sidecar_traffic.calls
    http_bytes = after.real_sidecar_traffic.http_bytes - before.real_sidecar_traffic.http_bytes
    writer.add(role, "cpu", float(np.mean(cores)), "cores", labels)
    writer.add(role, "cpu, largest", max(cores), "cores", labels)
    writer.add(role, "memory", float(np.mean(memory)), "bytes", labels)
    writer.add(role, "memory, largest", max(memory), "bytes", labels)
    writer.add(role, "calls", calls / duration_s / len(cores), "1/s", labels)
    writer.add(role, "http bytes", http_bytes / duration_s / len(cores), "bytes/s", labels)
    writer.add(role, "http bytes in the window", http_bytes / len(cores), "bytes", labels)


def write_stub_memory(
    writer: ResultWriter, fleet: Fleet, empty: Reading, full: Reading, labels: Labels
) -> None:
    """Write how much memory each stub sidecar, with its endpoint list, adds to its process."""
    growth_bytes = sum(
        after.memory_bytes - before.memory_bytes
        for before, after in zip(empty.stub_processes, full.stub_processes, strict=True)
    )
    writer.add(STUB_ROLE, "memory", growth_bytes / fleet.stubs.count, "bytes", labels)


def _write_propagation_times(
    writer: ResultWriter, role: str, histogram: LatencyHistogram, missing: int, labels: Labels
) -> None:
    """Write propagation times; `missing` is the number of pairs of a change and a sidecar without one."""
    writer.add(role, "in force, measured", histogram.count, "pairs", labels)
    writer.add(role, "in force, missing", missing, "pairs", labels)
    if histogram.count:
        for percentile in PERCENTILES:
            delay_s = histogram.percentile_seconds(percentile)
            writer.add(role, f"in force, {percentile:g} in 100", delay_s, "s", labels)


def write_stub_delays(writer: ResultWriter, delays: Sequence[Delays], labels: Labels) -> None:
    """Write the propagation times of changes to stub sidecars."""
    histogram = LatencyHistogram()
    for process_delays in delays:
        histogram.merge(LatencyHistogram.decode(process_delays.histogram))
    _write_propagation_times(
        writer, STUB_ROLE, histogram, sum(process_delays.missing for process_delays in delays), labels
    )


def write_real_sidecar_delays(writer: ResultWriter, observed: ObservedDelays, labels: Labels) -> None:
    """Write the propagation times of changes to real sidecars, as observed by their next calls."""
    histogram = LatencyHistogram()
    missing = 0
    for change in observed.delays_s:
        for delay_s in change:
            if delay_s is None:
                missing += 1
            else:
                histogram.add_seconds(delay_s)
    _write_propagation_times(writer, "real sidecar", histogram, missing, labels)
