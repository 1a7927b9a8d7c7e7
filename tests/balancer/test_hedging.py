"""Hedging: a hedged request goes out only where hedging is enabled."""

from __future__ import annotations

from balancer_stage import ready_stage, server_without_attempt
from helpers import MS as MILLISECOND_US
from helpers import settings

from sidecar.balancer.actions import CancelAttempt
from sidecar.balancer.events import Outcome


def test_a_hung_attempt_is_cancelled_before_its_retry_where_hedging_is_disabled() -> None:
    stage = ready_stage(6, settings(limits={"allow_hedging": False}))
    stage.serve(100)
    request = stage.request("look")
    hung = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MILLISECOND_US)
        other = stage.request("look")
        if stage.target(other) != hung:
            stage.end(other)
    assert [each.request for each in stage.said(CancelAttempt)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


def test_a_hedged_request_is_sent_only_where_hedging_is_enabled() -> None:
    for allowed in (False, True):
        stage = ready_stage(3, settings(limits={"allow_hedging": allowed}))
        request = stage.balancer._requests[stage.request()]
        server = server_without_attempt(stage, request)
        assert stage.balancer._send(request, server) is allowed
