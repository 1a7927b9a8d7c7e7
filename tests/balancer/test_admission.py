"""Admission: which requests are shed under overload, and when all are admitted again."""

from __future__ import annotations

from collections import deque

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, server_names, settings
from ready_balancer import ready_harness, serve_one_at_a_time

from sidecar.balancer.actions import CancelAttempt, FailRequest, RejectRequest
from sidecar.balancer.events import Outcome


@pytest.mark.parametrize(("others_per_step", "is_counted"), [(1, False), (8, False), (0, True)])
def test_an_overdue_attempt_indicates_overload_unless_it_was_lost_or_its_server_hangs(
    others_per_step: int, is_counted: bool
) -> None:
    harness = ready_harness(4)
    harness.serve_requests(60)
    overdue = harness.send_request("pay")
    # One request at a time goes to another server.  Of several at once, some go to the server of the overdue
    # attempt and overtake it.
    for _ in range(20):
        others = [harness.send_request() for _ in range(others_per_step)]
        harness.advance(50 * MILLISECOND_US)
        for each in others:
            harness.end_attempt(each)
    assert harness.balancer._requests[overdue].attempts[0].counted_as_late is is_counted


def overload_servers(harness: BalancerHarness, ticks: int) -> None:
    """Send four requests for each one that is answered, so that responses arrive later and later."""
    harness.update_servers(server_names(4))
    in_flight: list[int] = []
    for tick in range(ticks):
        harness.advance(10 * MILLISECOND_US)
        for name in ("look", "pay"):
            request = harness.send_request(name)
            if harness.attempts(request):
                in_flight.append(request)
        if tick % 2 and in_flight:  # every other tick, the oldest request is answered
            request = in_flight.pop(0)
            if request in harness.balancer._requests and not harness.balancer._requests[request].answered:
                harness.end_attempt(request, attempt=0)


def test_a_surge_is_shed_early_and_by_priority() -> None:
    harness = ready_harness(4)
    harness.serve_requests(200)
    overload_servers(harness, 600)
    rejected = {each.request for each in harness.actions_of(RejectRequest)}
    # Classes alternate, so without regard to priority half of the rejected requests would be of low priority.
    low_priority = sum(1 for each in rejected if each % 2)
    assert len(rejected) > 300
    assert low_priority > 0.5 * len(rejected)
    unsent = [
        each.request for each in harness.actions_of(RejectRequest) if not harness.attempts(each.request)
    ]
    assert len(unsent) > 0.5 * len(harness.actions_of(RejectRequest))


def test_all_requests_are_admitted_again_once_the_load_falls() -> None:
    harness = BalancerHarness()
    harness.serve_requests(1)
    overload_servers(harness, 400)
    harness.advance(10 * SECOND_US)
    for request in list(harness.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.pending:
                harness.end_attempt(request.id, Outcome.CANCELLED, attempt.index, answered=True)
    # Cancelled attempts count as load for as long again as they were in flight.
    harness.advance(11 * SECOND_US)
    # A small limit takes several latency targets to grow, so rejections during that time are expected.
    harness.serve_requests(600)
    rejected = len(harness.actions_of(RejectRequest))
    harness.serve_requests(300)
    assert len(harness.actions_of(RejectRequest)) == rejected


def test_late_responses_do_not_reduce_the_limit_below_the_timely_throughput() -> None:
    harness = ready_harness(8)
    # Ten in flight, each with a latency of a fifth of the target.
    harness.serve_requests(400, interval_us=10 * MILLISECOND_US, service_time_us=100 * MILLISECOND_US)
    pending: deque[tuple[int, int]] = deque()
    for _ in range(300):
        harness.advance(10 * MILLISECOND_US)
        harness.balancer._limit.latency.median = harness.balancer._limit.latency.late_share = 1.0
        pending.append((harness.now + 100 * MILLISECOND_US, harness.send_request()))
        if pending[0][0] <= harness.now and harness.attempts(done := pending.popleft()[1]):
            harness.end_attempt(done)
    assert len(harness.actions_of(RejectRequest)) < 60


def test_nothing_is_shed_at_moderate_load() -> None:
    harness = ready_harness(4)
    harness.serve_requests(800)
    assert harness.actions_of(RejectRequest) == []
    assert harness.actions_of(CancelAttempt) == []


def test_low_traffic_is_partly_shed_while_every_response_is_late() -> None:
    harness = ready_harness(8)
    for _ in range(120):  # hardly ever two in flight, so a limit of two would never reject a request
        harness.advance(900 * MILLISECOND_US)
        request = harness.send_request()
        if harness.attempts(request):
            harness.advance(700 * MILLISECOND_US)
            harness.end_attempt(request)
    rejected = len(harness.actions_of(RejectRequest))
    assert 20 <= rejected < 120
    harness.advance(10 * SECOND_US)
    serve_one_at_a_time(harness, 60)
    rejected = len(harness.actions_of(RejectRequest))
    serve_one_at_a_time(harness, 60)
    assert len(harness.actions_of(RejectRequest)) == rejected


def test_two_concurrent_requests_at_low_traffic_are_not_overload() -> None:
    harness = ready_harness(8)
    harness.balancer._limit.limit = 1.0
    harness.balancer._limit.adjusted_at = harness.now
    for _ in range(10):
        pair = (harness.send_request(), harness.send_request())
        harness.advance(50 * MILLISECOND_US)
        for request in pair:
            harness.end_attempt(request)
        harness.advance(900 * MILLISECOND_US)
    assert not harness.actions_of(RejectRequest)


def count_shed_with_late_responses(utilization: float) -> int:
    harness = ready_harness(8)
    rejected = 0
    for _ in range(300):
        harness.advance(60 * MILLISECOND_US)
        request = harness.send_request()
        if harness.attempts(request):
            harness.advance(550 * MILLISECOND_US)
            harness.end_attempt(request, attempt=0, report={"util": utilization})
        else:
            rejected += 1
    return rejected


def test_late_responses_from_servers_with_idle_cores_are_not_overload() -> None:
    assert count_shed_with_late_responses(0.4) < 5  # late attempts count until the first load report
    assert count_shed_with_late_responses(1.0) > 30


def test_reported_idle_cores_do_not_keep_the_limit_high_with_many_in_flight() -> None:
    harness = ready_harness(8)
    in_flight: list[tuple[int, int]] = []
    for _ in range(600):
        harness.advance(10 * MILLISECOND_US)
        request = harness.send_request()
        if harness.attempts(request):
            latency_us = (550 if request % 8 == 0 else 300) * MILLISECOND_US  # one in eight is late
            in_flight.append((harness.now + latency_us, request))
        while in_flight and harness.now >= in_flight[0][0]:
            harness.end_attempt(in_flight.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(harness.actions_of(RejectRequest)) > 50


def test_a_stale_load_report_does_not_hide_hung_servers() -> None:
    harness = ready_harness(8)
    for _ in range(20):
        harness.advance(50 * MILLISECOND_US)
        request = harness.send_request()
        harness.advance(50 * MILLISECOND_US)
        harness.end_attempt(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        harness.advance(20 * MILLISECOND_US)
        harness.send_request("pay")  # none of these is ever answered
    assert len(harness.actions_of(RejectRequest)) > 100


def test_late_responses_shed_nothing_while_load_reports_show_idle_cores() -> None:
    # Guards against mistaking lag of the balancer, hung connections or a few slow servers for overload.
    harness = ready_harness(4)
    in_flight: list[int] = []
    for step in range(800):
        harness.advance(20 * MILLISECOND_US)
        in_flight.append(harness.send_request())
        # In the end, each takes 600 ms, which exceeds the latency target of 500 ms.
        if len(in_flight) > min(3 + step // 10, 30):
            harness.end_attempt(in_flight.pop(0), report={"util": 0.2})
    assert harness.balancer._context.load.mean > 20.0
    assert harness.actions_of(RejectRequest) == []


def test_shedding_after_late_responses_at_low_traffic_ends_as_time_passes() -> None:
    harness = ready_harness(4)
    for _ in range(30):
        request = harness.send_request("look")
        harness.advance(600 * MILLISECOND_US)
        if harness.attempts(request):
            harness.end_attempt(request)
    rejected = len(harness.actions_of(RejectRequest))
    assert rejected > 3
    harness.advance(10 * SECOND_US)
    assert all(harness.attempts(harness.send_request("look")) for _ in range(2))


def test_connection_failures_at_low_traffic_are_not_overload() -> None:
    harness = ready_harness(6)
    for _ in range(12):
        request = harness.send_request("pay")
        harness.advance(200 * MILLISECOND_US)
        harness.end_attempt(request, Outcome.RESET)
    assert harness.actions_of(RejectRequest) == []
    assert len(harness.actions_of(FailRequest)) == 12


def test_rejections_carry_a_jittered_retry_after_where_enabled() -> None:
    for limits, maximum_us in (
        ({}, 0),
        ({"retry_after": True, "max_retry_after_us": 30 * MILLISECOND_US}, 30 * MILLISECOND_US),
    ):
        harness = BalancerHarness(settings(limits=limits))
        for _ in range(20):
            harness.send_request()  # there is no server
        retry_after_us = [each.retry_after_us for each in harness.actions_of(RejectRequest)]
        assert len(retry_after_us) == 20
        assert max(retry_after_us) <= maximum_us
        assert len(set(retry_after_us)) > 1 if maximum_us else not any(retry_after_us)  # jittered
