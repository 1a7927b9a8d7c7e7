"""Latency experiments: points, the analysis of calls, and a small run on real sockets."""

from __future__ import annotations

import gc
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import numpy as np
import psutil
import pytest

from scale.errors import ExperimentError
from scale.experiment import validate_experiment
from scale.http_client import NO_RESPONSE, CallResult
from scale.kinds import load_experiment, run_experiment
from scale.latency.analysis import ServedCall, attribute_overhead, pair_calls, parse_served_call
from scale.latency.experiment import Collector, LatencyExperiment
from scale.latency.traced_sidecar import set_collector
from scale.latency.tracing import BusyTime, Trace, Tracer
from scale.results import Measurement, ResultWriter, read_results
from scale.standins.server import ServedBody
from sidecar import __main__ as program

TIMEOUT_S = 60.0
EXPERIMENTS = Path(__file__).resolve().parents[2] / "scale" / "experiments"
VALID_EXPERIMENT: dict[str, Any] = {
    "name": "a",
    "kind": "latency",
    "seed": 1,
    "duration_s": 1.0,
    "calls_per_s": 10.0,
    "warm_up_s": 0.0,
    "service_mean_ms": 1.0,
    "budget_ms": 1.4,
    "points": [{"servers": 1}],
}


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"calls_per_s": 0.0}, "calls_per_s"),
        ({"points": []}, "points"),
        ({"points": [{"servers": 0}]}, "points.0.servers"),
        ({"points": [{"servers": 1}, {"servers": 1, "collector": "off"}]}, "points.1"),
        ({"points": [{"servers": 1, "speed": 3}]}, "points.0.speed"),
    ],
)
def test_invalid_point_is_rejected_naming_the_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ExperimentError, match=f"^{key}: "):
        validate_experiment(LatencyExperiment, VALID_EXPERIMENT | changes)


@pytest.mark.parametrize("path", sorted(EXPERIMENTS.glob("latency-*.toml")), ids=lambda path: path.stem)
def test_experiment_files_are_valid(path: Path) -> None:
    assert load_experiment(path).name == path.stem


def make_call(
    sent_at: float,
    service_time_us: float,
    latency_us: float,
    request_number: int = 2,
    status: int = 200,
) -> CallResult:
    """Return a call that the server started to serve 1 ms after it was sent."""
    body = ServedBody("s-0", request_number, sent_at + 0.001, service_time_us).encode()
    return CallResult(sent_at, sent_at, sent_at + latency_us / 1e6, status, body)


def served_calls(*results: CallResult) -> Sequence[ServedCall]:
    return [each for each in map(parse_served_call, results) if each is not None]


def test_only_calls_that_were_both_served_are_paired() -> None:
    results = [
        make_call(0, 100, 900),
        make_call(0, 300, 500),
        make_call(1, 0, 9, status=NO_RESPONSE),
        make_call(1, 0, 5),
    ]
    assert [pair.added_us for pair in pair_calls(results)] == [pytest.approx(600.0)]
    assert pair_calls([]) == pair_calls(results[:1]) == []


def test_busy_time_counts_the_covered_part_of_an_interval() -> None:
    busy = BusyTime([(3.0, 4.0, 0.5), (1.0, 2.0, 1.0)])
    starts, ends = np.array([0.0, 1.5, 2.0, 3.5]), np.array([10.0, 3.5, 3.0, 9.0])
    assert busy.wall_s(starts, ends) == pytest.approx([2.0, 1.0, 0.0, 0.5])
    assert busy.cpu_s(starts, ends) == pytest.approx([1.5, 0.75, 0.0, 0.25])
    assert BusyTime([]).wall_s(starts, ends) == pytest.approx(np.zeros(4))


def test_overhead_is_attributed_to_its_sources() -> None:
    """Each call takes 5 ms: 1 ms in the sidecar, 2 ms of service time, and 2 ms in the sidecar."""
    calls = served_calls(*(make_call(at, 2_000, 5_000) for at in (0.0, 10.0, 20.0, 30.0, 40.0)))
    own = [(at + 0.0002, at + 0.0005, 0.0003) for at in (0.0, 10.0, 20.0, 30.0, 40.0)]
    trace = Trace(
        {
            "callbacks": [
                *own,
                (10.003, 10.0045, 0.0015),  # a garbage collection of 1 ms, and 0.5 ms of work for other calls
                (20.003, 20.004, 0.0004),  # 0.6 ms preempted, and 0.4 ms of work for other calls
                (30.0035, 30.0045, 0.001),  # reads a registry response
                (40.0015, 40.0025, 0.001),  # during the service time: it delayed no call
            ],
            "collections": [(10.003, 10.004, 0.001)],
            "registry": [(30.0035, 30.0045, 0.001)],
        }
    )
    sources = attribute_overhead(calls, trace)
    assert sources.event_loop_cpu() == pytest.approx([300, 1_800, 700, 1_300, 300], abs=0.1)
    parts = sources.by_name()
    assert parts["garbage collection"] == pytest.approx([0, 1_000, 0, 0, 0], abs=0.1)
    assert parts["registry answers"] == pytest.approx([0, 0, 0, 1_000, 0], abs=0.1)
    assert parts["preempted"] == pytest.approx([0, 0, 600, 0, 0], abs=0.1)
    assert parts["own work"] == pytest.approx([300] * 5, abs=0.1)
    assert parts["other work in the event loop"] == pytest.approx([0, 500, 400, 0, 0], abs=0.1)
    assert sum(parts.values()) == pytest.approx([3_000] * 5, abs=0.1)


def test_collection_within_a_registry_response_counts_once() -> None:
    calls = served_calls(make_call(0.0, 2_000, 5_000))
    response, collection = (0.003, 0.0045, 0.0015), (0.0035, 0.004, 0.0005)
    trace = Trace({"callbacks": [response], "collections": [collection], "registry": [response]})
    parts = attribute_overhead(calls, trace).by_name()
    assert parts["garbage collection"] == pytest.approx([500], abs=0.1)
    assert parts["registry answers"] == pytest.approx([1_000], abs=0.1)
    assert parts["own work"] == pytest.approx([0], abs=0.1)


def test_work_on_a_new_connection_is_compared_with_other_new_connections() -> None:
    calls = served_calls(make_call(0, 2_000, 5_000, request_number=1), make_call(10, 2_000, 5_000))
    trace = Trace({"callbacks": [(0.0, 0.0008, 0.0008)], "collections": [], "registry": []})
    parts = attribute_overhead(calls, trace).by_name()
    assert parts["own work"] == pytest.approx([800, 0], abs=0.1)
    assert parts["other work in the event loop"] == pytest.approx([0, 0], abs=0.1)


def test_collections_and_timed_calls_are_traced(tmp_path: Path) -> None:
    tracer = Tracer()
    tracer.collections.install()
    try:
        gc.collect()
    finally:
        tracer.collections.uninstall()
    assert tracer.registry.timed(lambda value: value + 1)(1) == 2
    tracer.write(tmp_path / "trace.json")
    trace = Trace.read(tmp_path / "trace.json")
    assert trace.collection_count >= 1
    assert trace.registry_count == 1
    assert all(ended >= started_at for started_at, ended, _ in tracer.collections.spans)


def values_by_metric(measurements: Sequence[Measurement], servers: int) -> dict[str, float]:
    return {each.metric: each.value for each in measurements if each.labels["servers"] == servers}


# Guards against a collection between the start of the trace and the program's own thresholds.
def test_collection_is_off_before_the_program_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(program, "GC_THRESHOLDS", program.GC_THRESHOLDS)
    thresholds = gc.get_threshold()
    try:
        set_collector(Collector.OFF)
        assert gc.get_threshold()[0] == 0
        assert program.GC_THRESHOLDS[0] == 0
    finally:
        gc.set_threshold(*thresholds)


def test_small_experiment_counts_its_calls(tmp_path: Path) -> None:
    experiment = load_experiment(EXPERIMENTS / "latency-small.toml")
    with ResultWriter(tmp_path / "results.jsonl", experiment, commit="abc") as writer:
        run_experiment(experiment, writer)
    measurements = read_results([tmp_path / "results.jsonl"])
    for servers in (4, 40):
        at_point = values_by_metric(measurements, servers)
        assert at_point["calls"] > 0
        assert at_point["direct calls"] in (
            at_point["calls"],
            at_point["calls"] - 1,
        )
        assert at_point["calls not served"] == at_point["direct calls not served"] == 0
        assert at_point["requests"] >= at_point["calls"] + at_point["direct calls"]
        assert at_point["overlapping requests"] == 0
        assert at_point["overhead p50"] <= at_point["overhead p99"] <= at_point["overhead p99.9"]
    traced = values_by_metric(measurements, 40)
    assert traced["garbage collections"] == 0
    assert traced["registry calls timed"] > 0
    sources = [each for each in measurements if each.metric == "mean time of all calls"]
    assert len({each.labels["source"] for each in sources}) == len(sources) == 6


def test_interrupted_run_stops_its_processes(tmp_path: Path) -> None:
    experiment = EXPERIMENTS / "latency-small.toml"
    command = [
        sys.executable,
        "-m",
        "scale",
        "run",
        str(experiment),
        "--results",
        str(tmp_path / "out.jsonl"),
    ]
    run = subprocess.Popen(command, stderr=subprocess.PIPE)
    started: list[psutil.Process] = []
    try:
        assert run.stderr is not None
        while b"point started" not in run.stderr.readline():
            assert run.poll() is None
        while len(started) < 2:  # the process of the servers, and the sidecar
            assert run.poll() is None
            started = psutil.Process(run.pid).children()
        run.send_signal(signal.SIGINT)
        assert run.wait(TIMEOUT_S) != 0
        assert not any(each.is_running() for each in started)
        run.stderr.close()
    finally:
        run.kill()
        run.wait()
