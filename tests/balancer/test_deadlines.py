"""Deadlines: each request gets exactly one final response in time."""

from __future__ import annotations

from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import START, Stage
from helpers import S as SECOND_US

from sidecar.balancer.actions import CancelAttempt, FailRequest, RejectRequest
from sidecar.balancer.events import AttemptEnded, ClientDisconnected, Outcome


def test_an_unanswered_request_fails_before_its_deadline() -> None:
    stage = ready_stage(5)
    request = stage.request("pay", remaining_us=900 * MILLISECOND_US)
    stage.wait(899 * MILLISECOND_US)
    assert [each.request for each in stage.said(FailRequest)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_response() -> None:
    stage = ready_stage(5)
    request = stage.request("look", remaining_us=300 * MILLISECOND_US)
    stage.wait(300 * MILLISECOND_US)
    answers = len(stage.said(RejectRequest))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * SECOND_US)
    assert answers == 1
    assert len(stage.said(RejectRequest)) == 1
    assert len([1 for at, _ in stage.sends(request) if at > START + 300 * MILLISECOND_US]) == 0


def test_a_request_past_its_deadline_on_arrival_is_rejected() -> None:
    stage = ready_stage(3)
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_a_request_is_rejected_at_once_where_there_is_no_server() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    stage = ready_stage(3)
    request = stage.request()
    stage.end(request)
    before = len(stage.log)
    stage.play(ClientDisconnected(request))
    stage.play(ClientDisconnected(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.SUCCEEDED, 1, True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.SUCCEEDED, 1, True))
    assert len(stage.log) == before


def test_a_client_disconnect_cancels_the_attempt_without_a_response() -> None:
    stage = ready_stage(3)
    request = stage.request("pay")
    stage.play(ClientDisconnected(request))
    stage.wait(3 * SECOND_US)
    assert [each.request for each in stage.said(CancelAttempt)] == [request]
    assert stage.said(FailRequest) == []
    assert stage.said(RejectRequest) == []
