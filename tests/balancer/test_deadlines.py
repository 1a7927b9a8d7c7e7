"""Deadlines: each request gets exactly one final response before its deadline."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, SECOND_US, START_US, BalancerHarness
from ready_balancer import ready_harness

from sidecar.balancer.actions import CancelAttempt, FailRequest, RejectRequest
from sidecar.balancer.events import AttemptEnded, ClientDisconnected, Outcome


def test_an_unanswered_request_fails_before_its_deadline() -> None:
    harness = ready_harness(5)
    request = harness.send_request("pay", remaining_us=900 * MILLISECOND_US)
    harness.advance(899 * MILLISECOND_US)
    assert [each.request for each in harness.actions_of(FailRequest)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_response() -> None:
    harness = ready_harness(5)
    request = harness.send_request("look", remaining_us=300 * MILLISECOND_US)
    harness.advance(300 * MILLISECOND_US)
    rejections = len(harness.actions_of(RejectRequest))
    harness.end_attempt(request, Outcome.CANCELLED, answered=True)
    harness.advance(5 * SECOND_US)
    assert rejections == 1
    assert len(harness.actions_of(RejectRequest)) == 1
    assert len([1 for at, _ in harness.attempts(request) if at > START_US + 300 * MILLISECOND_US]) == 0


def test_a_request_past_its_deadline_on_arrival_is_rejected() -> None:
    harness = ready_harness(3)
    request = harness.send_request("pay", remaining_us=0)
    assert harness.attempts(request) == []
    assert [each.request for each in harness.actions_of(RejectRequest)] == [request]


def test_a_request_is_rejected_at_once_where_there_is_no_server() -> None:
    harness = BalancerHarness()
    request = harness.send_request("pay")
    assert [each.request for each in harness.actions_of(RejectRequest)] == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    harness = ready_harness(3)
    request = harness.send_request()
    harness.end_attempt(request)
    before = len(harness.action_log)
    harness.handle(ClientDisconnected(request))
    harness.handle(ClientDisconnected(99))
    harness.handle(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.SUCCEEDED, 1, True))
    harness.handle(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.SUCCEEDED, 1, True))
    assert len(harness.action_log) == before


def test_a_client_disconnect_cancels_the_attempt_without_a_response() -> None:
    harness = ready_harness(3)
    request = harness.send_request("pay")
    harness.handle(ClientDisconnected(request))
    harness.advance(3 * SECOND_US)
    assert [each.request for each in harness.actions_of(CancelAttempt)] == [request]
    assert harness.actions_of(FailRequest) == []
    assert harness.actions_of(RejectRequest) == []
