"""Analyses the calls of one point: the added latency, and the sources of the slowest calls' overhead."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

import numpy as np

from scale.histogram import LatencyHistogram
from scale.http_client import CallResult
from scale.latency.tracing import FloatArray, Trace
from scale.standins.server import ServedBody

PERCENTILES = (50.0, 99.0, 99.9)
SLOWEST_PERCENTILE = 99.0  # the calls above it are the slowest 1 in 100


@dataclass(frozen=True, slots=True)
class ServedCall:
    """A call with status 200, and what its server reported."""

    result: CallResult
    body: ServedBody

    @property
    def overhead_us(self) -> float:
        """The latency without the server's service time, in microseconds."""
        return self.result.latency_us - self.body.service_time_us

    @property
    def is_on_new_connection(self) -> bool:
        """Whether it was the first request on the sidecar's connection to the server."""
        return self.body.connection_request_number == 1


@dataclass(frozen=True, slots=True)
class CallPair:
    """A call through the sidecar, and the direct call that follows it."""

    through_sidecar: ServedCall
    direct: ServedCall

    @property
    def added_us(self) -> float:
        """The difference of the two overheads in microseconds; it may be negative."""
        return self.through_sidecar.overhead_us - self.direct.overhead_us


def parse_served_call(result: CallResult) -> ServedCall | None:
    """Return a call with its parsed body; None if it was not served."""
    return ServedCall(result, ServedBody.decode(result.body)) if result.status == HTTPStatus.OK else None


def pair_calls(results: Sequence[CallResult]) -> list[CallPair]:
    """Pair each call through the sidecar with the direct call after it, where both were served."""
    pairs = []
    for through_sidecar, direct in zip(results[::2], results[1::2], strict=False):
        served_pair = parse_served_call(through_sidecar), parse_served_call(direct)
        if served_pair[0] is not None and served_pair[1] is not None:
            pairs.append(CallPair(served_pair[0], served_pair[1]))
    return pairs


def percentiles_us(values_us: Sequence[float] | FloatArray) -> dict[float, float]:
    """Return the values at the reported percentiles, in microseconds; empty if there are no values."""
    if not len(values_us):
        return {}
    return {percentile: float(np.percentile(values_us, percentile)) for percentile in PERCENTILES}


def histogram_percentiles_us(calls: Sequence[ServedCall]) -> dict[float, float]:
    """Return the calls' overheads at the reported percentiles, in microseconds, from a histogram."""
    histogram = LatencyHistogram([call.overhead_us for call in calls])
    return {percentile: histogram.percentile(percentile) for percentile in PERCENTILES}


@dataclass(frozen=True, slots=True)
class OverheadSources:
    """The sources of each call's overhead, in microseconds; their sum is the overhead.

    Work, collections and registry responses are CPU time; the time that callbacks spend without the CPU is
    `preempted`.  A collection during the handling of a registry response counts as a collection only.
    """

    own_work: FloatArray  # event loop callbacks, up to the CPU time of a typical call
    other_work: FloatArray  # callbacks beyond that: other calls and timers, which delayed this call
    collections: FloatArray
    registry: FloatArray
    preempted: FloatArray
    outside: FloatArray  # the kernel, the network, the client, and the sidecar's wake-up

    def event_loop_cpu(self) -> FloatArray:
        """Return the event loop's CPU time during each call: about the overhead on an idle machine."""
        return self.own_work + self.other_work + self.collections + self.registry

    def by_name(self) -> dict[str, FloatArray]:
        """Return the sources by name."""
        return {
            "own work": self.own_work,
            "other work in the event loop": self.other_work,
            "garbage collection": self.collections,
            "registry answers": self.registry,
            "preempted": self.preempted,
            "outside the sidecar": self.outside,
        }


def attribute_overhead(calls: Sequence[ServedCall], trace: Trace) -> OverheadSources:
    """Split each call's overhead into its sources, from the spans before and after the service time."""
    sent = np.array([call.result.sent_at for call in calls])
    service_started = np.array([call.body.started_at for call in calls])
    service_ended = service_started + np.array([call.body.service_time_us for call in calls]) / 1e6
    ended = np.array([call.result.ended_at for call in calls])
    on_new_connection = np.array([call.is_on_new_connection for call in calls], dtype=bool)

    def time_in_windows(method: str, span_kind: str) -> FloatArray:
        time_between = getattr(getattr(trace, span_kind), method)
        total_us: FloatArray = (
            time_between(sent, service_started) + time_between(service_ended, ended)
        ) * 1e6
        return total_us

    wall = time_in_windows("wall_s", "callbacks")
    cpu = time_in_windows("cpu_s", "callbacks")
    collections = time_in_windows("cpu_s", "collections")
    registry = time_in_windows("cpu_s", "registry") - time_in_windows("cpu_s", "collections_in_registry")
    work = cpu - collections - registry
    own_work = np.minimum(work, _typical_work(work, on_new_connection))
    overhead = np.array([call.overhead_us for call in calls])
    return OverheadSources(own_work, work - own_work, collections, registry, wall - cpu, overhead - wall)


def _typical_work(
    work: FloatArray, on_new_connection: np.ndarray[tuple[int], np.dtype[np.bool_]]
) -> FloatArray:
    """Return, for each call, the median work of the calls on its kind of connection, new or reused."""
    typical = np.zeros_like(work)
    for mask in (on_new_connection, ~on_new_connection):
        if mask.any():
            typical[mask] = np.median(work[mask])
    return typical
