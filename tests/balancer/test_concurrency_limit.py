"""The adaptive concurrency limit."""

from __future__ import annotations

import math

from balancer_harness import MILLISECOND_US, BalancerHarness
from policy_context import add_load, make_context

from sidecar.balancer.policy.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from sidecar.balancer.state import Context


def test_the_first_responses_after_a_restart_do_not_set_the_limit() -> None:
    # Guards against rejections after a restart, when all connections are new and rates are still building up.
    balancer = BalancerHarness().balancer
    for latency_ratio in [0.5] * 8:
        balancer._admission.observe_latency(latency_ratio)
    assert balancer._limit.limit == float("inf")
    for _ in range(4):
        balancer._admission.observe_latency(2.0)  # a few late responses may be chance
    assert balancer._limit.limit == float("inf")
    for _ in range(40):
        # Nearly all responses are late, which indicates overload even just after a restart.
        balancer._admission.observe_latency(2.0)
    assert balancer._limit.limit < float("inf")


def observe_repeatedly(context: Context, limit: ConcurrencyLimit, times: int, latency_ratio: float) -> None:
    """Observe one response every 20 ms, each with this latency as a fraction of the target."""
    for _ in range(times):
        context.clock.now += 20 * MILLISECOND_US
        limit.observe(latency_ratio)


def test_late_responses_decrease_the_limit_down_to_its_minimum() -> None:
    context = make_context()
    limit = ConcurrencyLimit(context)
    add_load(context, 16)
    observe_repeatedly(context, limit, 2_000, latency_ratio=2.0)
    assert MIN_LIMIT <= limit.limit < 1.0


def test_slower_but_timely_responses_leave_the_limit_unchanged() -> None:
    context = make_context()
    limit = ConcurrencyLimit(context)
    add_load(context, 16)
    observe_repeatedly(context, limit, 500, latency_ratio=0.9)
    assert limit.limit == math.inf


def test_fast_responses_increase_the_limit_only_after_a_rejection() -> None:
    context = make_context()
    limit = ConcurrencyLimit(context)
    limit.limit = 4.0
    for has_rejected in (False, True):
        limit.has_rejected = has_rejected
        before = limit.limit
        observe_repeatedly(context, limit, 50, latency_ratio=0.05)
        assert (limit.limit > before) is has_rejected
