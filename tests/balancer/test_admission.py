"""Admission: which requests are shed under overload, and when all are admitted again."""

from __future__ import annotations

from collections import deque

import pytest
from balancer_stage import ready_stage, serve_one_at_a_time
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import Stage, names, settings

from sidecar.balancer.actions import CancelAttempt, FailRequest, RejectRequest
from sidecar.balancer.events import Outcome


@pytest.mark.parametrize(("at_once", "counted"), [(1, False), (8, False), (0, True)])
def test_an_overdue_attempt_indicates_overload_unless_it_was_lost_or_its_server_hangs(
    at_once: int, counted: bool
) -> None:
    stage = ready_stage(4)
    stage.serve(60)
    overdue = stage.request("pay")
    for _ in range(20):  # one at a time, they go to other servers; many at once overtake it
        others = [stage.request() for _ in range(at_once)]
        stage.wait(50 * MILLISECOND_US)
        for each in others:
            stage.end(each)
    assert stage.balancer._requests[overdue].attempts[0].counted_as_late is counted


def overload_servers(stage: Stage, spans: int) -> None:
    """Send far more requests than the servers can answer, so that responses become ever later."""
    stage.servers(names(4))
    in_flight: list[int] = []
    for tick in range(spans):
        stage.wait(10 * MILLISECOND_US)
        for name in ("look", "pay"):
            request = stage.request(name)
            if stage.sends(request):
                in_flight.append(request)
        if tick % 2 and in_flight:  # one answer for four requests, oldest first
            request = in_flight.pop(0)
            if request in stage.balancer._requests and not stage.balancer._requests[request].answered:
                stage.end(request, attempt=0)


def test_a_surge_is_shed_early_and_by_priority() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    overload_servers(stage, 600)
    rejected = {each.request for each in stage.said(RejectRequest)}
    low_priority = sum(1 for each in rejected if each % 2)  # classes alternate: half would be no preference
    assert len(rejected) > 300
    assert low_priority > 0.5 * len(rejected)
    unsent = [each.request for each in stage.said(RejectRequest) if not stage.sends(each.request)]
    assert len(unsent) > 0.5 * len(stage.said(RejectRequest))


def test_all_requests_are_admitted_again_once_the_load_falls() -> None:
    stage = Stage()
    stage.serve(1)
    overload_servers(stage, 400)
    stage.wait(10 * SECOND_US)
    for request in list(stage.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.pending:
                stage.end(request.id, Outcome.CANCELLED, attempt.index, answered=True)
    stage.wait(11 * SECOND_US)  # cancelled attempts count as load for as long again
    stage.serve(600)  # a small limit takes some latency targets to grow; a rejection meanwhile is no fault
    rejected = len(stage.said(RejectRequest))
    stage.serve(300)
    assert len(stage.said(RejectRequest)) == rejected


def test_late_responses_do_not_reduce_the_limit_below_the_timely_throughput() -> None:
    stage = ready_stage(8)
    # Ten in flight, each a fifth of the target.
    stage.serve(400, every_us=10 * MILLISECOND_US, taking_us=100 * MILLISECOND_US)
    pending: deque[tuple[int, int]] = deque()
    for _ in range(300):
        stage.wait(10 * MILLISECOND_US)
        stage.balancer._limit.latency.median = stage.balancer._limit.latency.late_share = 1.0
        pending.append((stage.now + 100 * MILLISECOND_US, stage.request()))
        if pending[0][0] <= stage.now and stage.sends(done := pending.popleft()[1]):
            stage.end(done)
    assert len(stage.said(RejectRequest)) < 60


def test_nothing_is_shed_at_moderate_load() -> None:
    stage = ready_stage(4)
    stage.serve(800)
    assert stage.said(RejectRequest) == []
    assert stage.said(CancelAttempt) == []


def test_low_traffic_is_partly_shed_while_every_response_is_late() -> None:
    stage = ready_stage(8)
    for _ in range(120):  # hardly ever two in flight, so a limit of two would never reject one
        stage.wait(900 * MILLISECOND_US)
        request = stage.request()
        if stage.sends(request):
            stage.wait(700 * MILLISECOND_US)
            stage.end(request)
    rejected = len(stage.said(RejectRequest))
    assert 20 <= rejected < 120
    stage.wait(10 * SECOND_US)
    serve_one_at_a_time(stage, 60)
    rejected = len(stage.said(RejectRequest))
    serve_one_at_a_time(stage, 60)
    assert len(stage.said(RejectRequest)) == rejected


def test_two_concurrent_requests_at_low_traffic_are_not_overload() -> None:
    stage = ready_stage(8)
    stage.balancer._limit.limit = 1.0
    stage.balancer._limit.sized_at = stage.now
    for _ in range(10):
        pair = (stage.request(), stage.request())
        stage.wait(50 * MILLISECOND_US)
        for request in pair:
            stage.end(request)
        stage.wait(900 * MILLISECOND_US)
    assert not stage.said(RejectRequest)


def count_shed_with_late_responses(cores: float) -> int:
    stage = ready_stage(8)
    rejected = 0
    for _ in range(300):
        stage.wait(60 * MILLISECOND_US)
        request = stage.request()
        if stage.sends(request):
            stage.wait(550 * MILLISECOND_US)
            stage.end(request, attempt=0, report={"util": cores})
        else:
            rejected += 1
    return rejected


def test_late_responses_from_servers_with_idle_cores_are_not_overload() -> None:
    assert count_shed_with_late_responses(0.4) < 5  # the first has no load report yet
    assert count_shed_with_late_responses(1.0) > 30


def test_reported_idle_cores_do_not_keep_the_limit_high_with_many_in_flight() -> None:
    stage = ready_stage(8)
    in_flight: list[tuple[int, int]] = []
    for _ in range(600):
        stage.wait(10 * MILLISECOND_US)
        request = stage.request()
        if stage.sends(request):
            latency_us = (550 if request % 8 == 0 else 300) * MILLISECOND_US  # one in eight is late
            in_flight.append((stage.now + latency_us, request))
        while in_flight and stage.now >= in_flight[0][0]:
            stage.end(in_flight.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(stage.said(RejectRequest)) > 50


def test_a_stale_load_report_does_not_hide_hung_servers() -> None:
    stage = ready_stage(8)
    for _ in range(20):
        stage.wait(50 * MILLISECOND_US)
        request = stage.request()
        stage.wait(50 * MILLISECOND_US)
        stage.end(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        stage.wait(20 * MILLISECOND_US)
        stage.request("pay")  # none of these is ever answered
    assert len(stage.said(RejectRequest)) > 100


def test_late_responses_shed_nothing_while_load_reports_show_idle_cores() -> None:
    # Guards against lag of the balancer, hung connections and a few slow servers, which look like overload.
    stage = ready_stage(4)
    in_flight: list[int] = []
    for count in range(800):
        stage.wait(20 * MILLISECOND_US)
        in_flight.append(stage.request())
        if len(in_flight) > min(3 + count // 10, 30):  # in the end 600 ms each, past the target of 500 ms
            stage.end(in_flight.pop(0), report={"util": 0.2})
    assert stage.balancer._context.load.mean > 20.0
    assert stage.said(RejectRequest) == []


def test_late_responses_at_low_traffic_shed_load_until_time_passes() -> None:
    stage = ready_stage(4)
    for _ in range(30):
        request = stage.request("look")
        stage.wait(600 * MILLISECOND_US)
        if stage.sends(request):
            stage.end(request)
    rejected = len(stage.said(RejectRequest))
    assert rejected > 3
    stage.wait(10 * SECOND_US)
    assert all(stage.sends(stage.request("look")) for _ in range(2))


def test_connection_failures_at_low_traffic_are_not_overload() -> None:
    stage = ready_stage(6)
    for _ in range(12):
        request = stage.request("pay")
        stage.wait(200 * MILLISECOND_US)
        stage.end(request, Outcome.RESET)
    assert stage.said(RejectRequest) == []
    assert len(stage.said(FailRequest)) == 12


def test_rejections_carry_a_jittered_retry_after_where_enabled() -> None:
    for limits, maximum_us in (
        ({}, 0),
        ({"retry_after": True, "max_retry_after_us": 30 * MILLISECOND_US}, 30 * MILLISECOND_US),
    ):
        stage = Stage(settings(limits=limits))
        for _ in range(20):
            stage.request()  # there is no server
        retry_after_us = [each.retry_after_us for each in stage.said(RejectRequest)]
        assert len(retry_after_us) == 20
        assert max(retry_after_us) <= maximum_us
        assert len(set(retry_after_us)) > 1 if maximum_us else not any(retry_after_us)  # jittered
