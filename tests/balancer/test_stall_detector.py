"""Stall detector: a late check indicates a stall, whether a timer or any other event reveals it."""

from __future__ import annotations

import pytest

from sidecar.balancer.state.clock import Clock
from sidecar.balancer.state.stall_detector import StallDetector

INTERVAL_US = 50_000
START_US = 1_000_000


@pytest.fixture
def clock() -> Clock:
    clock = Clock()
    clock.now = START_US
    return clock


@pytest.fixture
def detector(clock: Clock) -> StallDetector:
    """A detector whose check is scheduled at START_US."""
    detector = StallDetector(clock, INTERVAL_US)
    assert detector.schedule_check() == START_US + INTERVAL_US
    return detector


def test_a_pending_check_is_not_scheduled_again(clock: Clock, detector: StallDetector) -> None:
    clock.now += 1
    assert detector.schedule_check() is None
    assert detector.check_due == START_US + INTERVAL_US


@pytest.mark.parametrize("late_us", [0, 1, INTERVAL_US])
def test_a_check_no_later_than_its_interval_is_no_stall(
    clock: Clock, detector: StallDetector, late_us: int
) -> None:
    clock.now = START_US + INTERVAL_US + late_us
    detector.observe(is_timer=True)
    assert detector.stalled_us == 0
    assert not detector.is_catching_up()
    assert not detector.has_just_resumed()
    assert detector.check_due is None


def test_only_a_timer_completes_a_check_in_time(clock: Clock, detector: StallDetector) -> None:
    clock.now = START_US + INTERVAL_US + 1
    detector.observe(is_timer=False)
    assert detector.check_due == START_US + INTERVAL_US


@pytest.mark.parametrize("is_timer", [True, False])
def test_any_event_reveals_a_stall(clock: Clock, detector: StallDetector, is_timer: bool) -> None:
    late_us = INTERVAL_US + 1
    resumed_at = START_US + INTERVAL_US + late_us
    clock.now = resumed_at
    detector.observe(is_timer=is_timer)
    assert detector.stalled_us == late_us
    assert detector.has_just_resumed()
    assert detector.check_due is None
    clock.now = resumed_at + late_us + INTERVAL_US
    assert detector.is_catching_up()
    assert not detector.has_just_resumed()
    clock.now += 1
    assert not detector.is_catching_up()


def test_durations_of_stalls_add_up(clock: Clock, detector: StallDetector) -> None:
    for _ in range(2):
        detector.schedule_check()
        assert detector.check_due is not None
        clock.now = detector.check_due + 10 * INTERVAL_US
        detector.observe(is_timer=True)
    assert detector.stalled_us == 20 * INTERVAL_US


def test_no_stall_is_detected_without_a_pending_check(clock: Clock) -> None:
    detector = StallDetector(clock, INTERVAL_US)
    clock.now += 100 * INTERVAL_US
    detector.observe(is_timer=True)
    assert detector.stalled_us == 0


def test_a_new_interval_applies_from_the_next_check_on(clock: Clock, detector: StallDetector) -> None:
    detector.set_check_interval(2 * INTERVAL_US)
    assert detector.check_due == START_US + INTERVAL_US
    clock.now = START_US + INTERVAL_US
    detector.observe(is_timer=True)
    assert detector.schedule_check() == clock.now + 2 * INTERVAL_US
