"""The adaptive concurrency limit."""

from __future__ import annotations

import math

from helpers import MS, Stage
from policy_context import crowd, make_context

from topazbank.policy.concurrency_limit import LEAST_LIMIT, ConcurrencyLimit


def test_a_new_balancer_does_not_set_its_limit_by_its_first_answers() -> None:
    # Guards against refusals after each restart: all connections are new, and the rates not full yet.
    balancer = Stage().balancer
    for latency_ratio in [0.5] * 8:
        balancer._admission.observe(latency_ratio)
    assert balancer._limit.limit == float("inf")
    for _ in range(4):
        balancer._admission.observe(2.0)  # a few late ones may be chance
    assert balancer._limit.limit == float("inf")
    for _ in range(40):
        balancer._admission.observe(2.0)  # nearly all late: that is overload, however new the balancer
    assert balancer._limit.limit < float("inf")


def test_late_answers_shrink_the_limit_but_never_below_the_least() -> None:
    context = make_context()
    limit = ConcurrencyLimit(context)
    crowd(context, 16)
    for _ in range(2_000):
        context.now += 20 * MS
        limit.observe(2.0)
    assert LEAST_LIMIT <= limit.limit < 1.0


def test_slower_answers_that_are_still_in_time_leave_the_limit_alone() -> None:
    context = make_context()
    limit = ConcurrencyLimit(context)
    crowd(context, 16)
    for _ in range(500):
        context.now += 20 * MS
        limit.observe(0.9)
    assert limit.limit == math.inf


def test_quick_answers_let_the_limit_grow_only_after_a_refusal() -> None:
    context = make_context()
    limit = ConcurrencyLimit(context)
    limit.limit = 4.0
    for refused in (False, True):
        limit.refused = refused
        before = limit.limit
        for _ in range(50):
            context.now += 20 * MS
            limit.observe(0.05)
        assert (limit.limit > before) is refused
