"""The average CPU utilization that servers report."""

from __future__ import annotations

import math

import pytest

from sidecar.balancer.policy.cpu_utilization import CpuUtilizationTracker


@pytest.mark.parametrize("report", [None, {}, {"inflight": 3.0}, {"util": 2.0}, {"util": math.nan}])
def test_reports_without_a_valid_utilization_are_ignored(report: dict[str, float] | None) -> None:
    tracker = CpuUtilizationTracker()
    tracker.observe(report)
    assert tracker.utilization is None
    assert tracker.excess() is None
    assert not tracker.is_saturated()
    assert not tracker.has_spare_capacity()


@pytest.mark.parametrize(("reported", "expected"), [(-0.2, 0.0), (0.4, 0.4), (1.3, 1.0)])
def test_the_first_report_sets_the_average_within_its_range(reported: float, expected: float) -> None:
    tracker = CpuUtilizationTracker()
    tracker.observe({"util": reported})
    assert tracker.utilization == expected


def test_the_average_follows_reports_and_missing_ones_count_as_saturated() -> None:
    tracker = CpuUtilizationTracker()
    tracker.observe({"util": 0.2})
    for _ in range(100):
        tracker.observe({"util": 0.6})
    assert tracker.utilization == pytest.approx(0.6, abs=0.001)
    assert not tracker.is_saturated()
    for _ in range(100):
        tracker.observe_missing_report()
    assert tracker.is_saturated()
    assert tracker.excess() == pytest.approx(1.0, abs=0.001)


def test_missing_reports_are_ignored_where_no_server_reports_its_utilization() -> None:
    tracker = CpuUtilizationTracker()
    tracker.observe_missing_report()
    assert tracker.utilization is None
