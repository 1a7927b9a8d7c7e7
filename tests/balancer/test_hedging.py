"""Hedging: a hedged request goes out only where hedging is enabled."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, settings
from ready_balancer import ready_harness, server_without_attempt

from sidecar.balancer.actions import CancelAttempt
from sidecar.balancer.events import Outcome


def test_a_hung_attempt_is_cancelled_before_its_retry_where_hedging_is_disabled() -> None:
    harness = ready_harness(6, settings(limits={"allow_hedging": False}))
    harness.serve_requests(100)
    request = harness.send_request("look")
    hung = harness.server_of(request)
    for _ in range(60):
        harness.advance(10 * MILLISECOND_US)
        other = harness.send_request("look")
        if harness.server_of(other) != hung:
            harness.end_attempt(other)
    assert [each.request for each in harness.actions_of(CancelAttempt)][:1] == [request]
    assert len(harness.attempts(request)) == 1
    harness.end_attempt(request, Outcome.CANCELLED, answered=False)
    assert len(harness.attempts(request)) == 2


def test_a_hedged_request_is_sent_only_where_hedging_is_enabled() -> None:
    for is_enabled in (False, True):
        harness = ready_harness(3, settings(limits={"allow_hedging": is_enabled}))
        request = harness.balancer._requests[harness.send_request()]
        server = server_without_attempt(harness, request)
        assert harness.balancer._send(request, server) is is_enabled
