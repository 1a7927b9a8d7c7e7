"""Retries along a chain of 16 services: calls do not multiply with depth, and goodput recovers."""

from __future__ import annotations

from typing import Any

import pytest

from scale.callgraph.experiment import CallGraphExperiment
from scale.callgraph.run import CallGraphRun, points, run_point
from scale.experiment import validate_experiment

CHAIN_DEPTH = 16
MAX_CALLS_PER_ROOT_CALL = 2.0  # on the deepest service
DEADLINE_US = 1_500_000
CHAIN_EXPERIMENT: dict[str, Any] = {
    "name": "chain",
    "kind": "callgraph",
    "seed": 11,
    "duration_s": 11.0,
    "depths": [CHAIN_DEPTH],
    "loads": [0.1],
    "servers": {"count": 5},
    "root_callers": 5,
    "warm_up_s": 1.0,
}


def run_chain(
    share: float, fault_begin_s: float = 3.0, fault_end_s: float = 6.0, **changes: Any
) -> CallGraphRun:
    """Run the chain while a share of the calls on the deepest service fails."""
    fault = {"kind": "errors", "share": share, "begin_s": fault_begin_s, "end_s": fault_end_s}
    experiment = validate_experiment(CallGraphExperiment, {**CHAIN_EXPERIMENT, "fault": fault, **changes})
    return run_point(experiment, next(points(experiment)))


def recovered_within(result: CallGraphRun, limit_us: int) -> bool:
    """Whether goodput recovered within the limit after the end of the fault."""
    recovery_us = result.recovery_us()
    return recovery_us is not None and recovery_us <= limit_us


@pytest.mark.parametrize("share", [0.1, 0.3, 0.5, 0.7, 1.0])
def test_no_share_of_failures_multiplies_calls_or_delays_recovery(share: float) -> None:
    result = run_chain(share)
    assert result.calls_per_root_call()[-1] <= MAX_CALLS_PER_ROOT_CALL
    assert recovered_within(result, 2 * DEADLINE_US)


def test_few_failures_are_still_retried() -> None:
    assert run_chain(0.3).shares_during_fault().goodput >= 0.99


def test_retry_budget_accumulated_before_a_short_fault_does_not_multiply_calls() -> None:
    result = run_chain(1.0, fault_end_s=4.0)
    assert result.calls_per_root_call()[-1] <= MAX_CALLS_PER_ROOT_CALL
    assert recovered_within(result, 2 * DEADLINE_US)


def test_many_sidecars_with_little_traffic_accumulate_a_small_retry_budget() -> None:
    low_traffic: dict[str, Any] = {"servers": {"count": 20}, "root_callers": 20, "loads": [0.02]}
    result = run_chain(1.0, fault_end_s=8.0, duration_s=13.0, **low_traffic)
    assert result.calls_per_root_call()[-1] <= MAX_CALLS_PER_ROOT_CALL
    assert recovered_within(result, 2 * DEADLINE_US)
