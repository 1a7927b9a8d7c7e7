"""Call graphs in virtual time: deterministic results, and the effect of faults on calls."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from scale.callgraph.experiment import CallGraphExperiment, Fault, FaultKind, PolicyName
from scale.callgraph.measure import RootCallRecorder
from scale.callgraph.run import CallGraphRun, Point, points, run_point
from scale.callgraph.server import CallResult
from scale.errors import ExperimentError
from scale.experiment import validate_experiment
from scale.kinds import load_experiment, run_experiment
from scale.results import ResultWriter, read_results

EXPERIMENTS = Path(__file__).resolve().parents[2] / "scale" / "experiments"

SMALL: dict[str, Any] = {
    "name": "small",
    "kind": "callgraph",
    "seed": 5,
    "duration_s": 10.0,
    "warm_up_s": 0.5,
    "depths": [3],
    "loads": [0.2],
    "servers": {"count": 4},
    "root_callers": 2,
    "regions": 2,
    "zones_per_region": 1,
}
FAULT = {"begin_s": 3.0, "end_s": 5.0}


def run(policy: PolicyName = PolicyName.BALANCER, **changes: Any) -> CallGraphRun:
    """Run the first point of the small experiment with some keys changed."""
    experiment = validate_experiment(CallGraphExperiment, {**SMALL, **changes})
    first = next(points(experiment))
    return run_point(experiment, Point(first.depth, first.load, first.fault, policy, first.seed))


def test_runs_are_determined_by_the_seed() -> None:
    fault = {"kind": "errors", "share": 0.5, **FAULT}
    assert run(fault=fault).digest == run(fault=fault).digest
    assert run(fault=fault).digest != run(fault=fault, seed=6).digest


@pytest.mark.parametrize("policy", list(PolicyName))
def test_healthy_graph_serves_each_root_call_with_one_call_at_each_hop(policy: PolicyName) -> None:
    measured = run(policy)
    assert measured.shares_during_fault().goodput == 1.0
    assert measured.calls_per_root_call() == pytest.approx([1.0, 1.0, 1.0], rel=0.02)


def test_each_hop_makes_as_many_calls_as_the_fan_out() -> None:
    assert run(fan_out=2).calls_per_root_call() == pytest.approx([1.0, 2.0, 4.0], rel=0.05)


def test_fixed_retries_multiply_from_hop_to_hop_while_all_calls_fail() -> None:
    # The load is so low that 9 times as many calls do not overload a service.
    changes = {"fault": {"kind": "errors", **FAULT}, "loads": [0.05]}
    retrying = run(PolicyName.FIXED_RETRIES, **changes).calls_per_root_call()
    assert retrying == pytest.approx([3.0, 9.0, 27.0], rel=0.05)
    single = run(PolicyName.NO_RETRY, **changes).calls_per_root_call()
    assert single == pytest.approx([1.0, 1.0, 1.0], rel=0.05)


def test_overload_fills_queues_and_servers_reject_calls() -> None:
    measured = run(PolicyName.NO_RETRY, loads=[1.5])
    assert 0.4 < measured.shares_during_fault().goodput < 0.9
    assert measured.shares_during_fault().failed > 0.1


@pytest.mark.parametrize(
    ("kind", "minimum", "maximum"),
    [
        (FaultKind.ERRORS, 0.0, 0.05),
        (FaultKind.SERVICE_LOST, 0.0, 0.05),
        (FaultKind.ZONE_LOST, 0.05, 0.95),
        (FaultKind.REGION_CUT, 0.05, 0.95),
    ],
)
def test_fault_reduces_goodput_only_while_it_lasts(kind: FaultKind, minimum: float, maximum: float) -> None:
    measured = run(PolicyName.NO_RETRY, fault={"kind": kind.value, **FAULT})
    assert measured.shares_before_fault().goodput == 1.0
    assert minimum <= measured.shares_during_fault().goodput <= maximum
    assert measured.recovery_us() is not None
    assert measured.shares_after_fault().goodput > 0.9


def test_recovery_time_ends_when_goodput_has_recovered() -> None:
    recorder = RootCallRecorder(deadline_us=1_000)
    for offered_at in range(0, 4_000_000, 10_000):
        call = recorder.offer(offered_at)
        call.ended_at = offered_at + (500 if offered_at >= 2_000_000 else 5_000)
        call.result = CallResult.SERVED
    assert recorder.recovery_us(1.0, 1_000_000, 4_000_000) == 1_000_000
    assert recorder.recovery_us(1.0, 1_000_000, 2_500_000) is None


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"depths": [17]}, "depths"),
        ({"policies": ["best"]}, "policies.0"),
        ({"fault": {"kind": "errors", "begin_s": 1.0, "end_s": 5.0}}, "fault.begin_s"),
        ({"fault": {"kind": "errors", "begin_s": 5.0, "end_s": 3.0}}, "fault"),
        ({"servers": {"count": 0}}, "servers.count"),
    ],
)
def test_invalid_call_graph_experiment_is_rejected_naming_the_key(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ExperimentError, match=key):
        validate_experiment(CallGraphExperiment, {**SMALL, **changes})


def test_sweep_has_a_run_for_each_combination() -> None:
    changes = {"depths": [1, 2], "loads": [0.1, 0.2], "fault_shares": [0.0, 1.0], "seeds": 2}
    swept = list(points(validate_experiment(CallGraphExperiment, {**SMALL, **changes})))
    assert len(set(swept)) == len(swept) == 16
    assert {point.seed for point in swept} == {5, 6}
    assert Fault(share=0.0) in {point.fault for point in swept}


def test_small_experiment_writes_the_same_results_every_time(tmp_path: Path) -> None:
    experiment = load_experiment(EXPERIMENTS / "callgraph-small.toml")
    paths = [tmp_path / "first.jsonl", tmp_path / "second.jsonl"]
    for path in paths:
        with ResultWriter(path, experiment, commit="abc") as writer:
            run_experiment(experiment, writer)
    assert paths[0].read_bytes() == paths[1].read_bytes()
    metrics = {each.metric for each in read_results(paths[:1])}
    assert metrics >= {"calls on the deepest service", "goodput", "refused", "time to recover"}


@pytest.mark.parametrize("path", sorted(EXPERIMENTS.glob("callgraph-*.toml")), ids=lambda path: path.stem)
def test_stored_call_graph_experiments_are_valid(path: Path) -> None:
    assert load_experiment(path).name == path.stem
