"""The queue of timers."""

from __future__ import annotations

from sidecar.balancer.state.timers import KeyCooldownOver, Timer, TimerQueue


def test_timers_fire_by_due_time_and_then_in_insertion_order() -> None:
    queue = TimerQueue()
    for due, key in ((30, 1), (10, 2), (10, 3), (99, 4)):
        queue.add(due, KeyCooldownOver(key))
    assert list(queue.pop_due(30)) == [
        (10, KeyCooldownOver(2)),
        (10, KeyCooldownOver(3)),
        (30, KeyCooldownOver(1)),
    ]


def test_a_host_timer_is_set_only_where_the_pending_one_fires_too_late() -> None:
    queue = TimerQueue()

    def keep_due_time(due: int, _: Timer) -> int:
        return due

    queue.add(50, KeyCooldownOver(1))
    timer = queue.arm(20, keep_due_time)
    assert timer is not None
    assert timer.delay_us == 30
    queue.add(70, KeyCooldownOver(2))
    assert queue.arm(20, keep_due_time) is None
    queue.add(40, KeyCooldownOver(3))
    timer = queue.arm(20, keep_due_time)
    assert timer is not None
    assert timer.delay_us == 20


def test_a_stale_timer_is_dropped() -> None:
    queue = TimerQueue()
    queue.add(50, KeyCooldownOver(1))
    assert queue.arm(20, lambda due, timer: None) is None
    assert list(queue.pop_due(99)) == []
