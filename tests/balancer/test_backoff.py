"""Exponential backoff with jitter."""

from __future__ import annotations

from policy_context import TARGET_US, make_context, make_request, start_attempt

from sidecar.balancer.policy.backoff import (
    MAX_REPEATS,
    back_off_after_rejection,
    is_backed_off,
    next_backoff,
)


def test_each_backoff_in_a_row_doubles_up_to_the_maximum() -> None:
    context = make_context()
    repeats = 0
    for targets in [2, 4, 8, 16, 16, 16, 16, 16, 16, 16]:
        backoff = next_backoff(context, repeats)
        assert 0.75 * targets <= (backoff.until - context.now) / TARGET_US <= 1.25 * targets
        assert backoff.repeats == min(repeats + 1, MAX_REPEATS)
        repeats = backoff.repeats


def test_a_rejection_backs_off_one_class_until_it_expires() -> None:
    context = make_context()
    server = context.registry.ready[0]
    rejected = make_request(context, "look")
    back_off_after_rejection(context, rejected, server)
    until = server.rejection_backoffs[rejected.traffic_key].until
    assert is_backed_off(server, rejected, until - 1)
    assert not is_backed_off(server, rejected, until)
    assert not is_backed_off(server, make_request(context, "pay"), context.now)


def test_the_backoff_is_the_longest_where_the_request_cannot_be_retried() -> None:
    context = make_context()
    server = context.registry.ready[0]
    request = make_request(context, "pay")
    start_attempt(context, request, server)
    back_off_after_rejection(context, request, server)
    backoff = server.rejection_backoffs[request.traffic_key]
    assert backoff.until - context.now >= 0.75 * 16 * TARGET_US
