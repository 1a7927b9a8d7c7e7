"""Outlier ejection: failing and hung servers, and their half-open attempts."""

from __future__ import annotations

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, server_names
from policy_context import TARGET_US, add_load, make_context, make_request, start_attempt
from ready_balancer import ready_harness

from sidecar.balancer.actions import Log
from sidecar.balancer.events import Endpoint, Outcome, RegistryUpdateKind
from sidecar.balancer.policy.outliers import FAILURES_TO_EJECT, OutlierDetector
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Context, Server


def traffic_with_one_hung_server(harness: BalancerHarness, rounds: int) -> tuple[str, list[int]]:
    """Serve traffic with a server that hangs after a while; return its name and the requests left at it."""
    harness.update_servers(server_names(6))
    harness.serve_requests(120)
    first = harness.send_request()
    hung = harness.server_of(first)
    unanswered = [first]
    for _ in range(rounds):
        harness.advance(10 * MILLISECOND_US)
        request = harness.send_request()
        if harness.server_of(request) == hung:
            unanswered.append(request)
        else:
            harness.advance(30 * MILLISECOND_US)
            harness.end_attempt(request)
    return hung, unanswered


def test_a_hung_server_is_ejected_and_its_idempotent_requests_are_retried_elsewhere() -> None:
    harness = BalancerHarness()
    hung, unanswered = traffic_with_one_hung_server(harness, 20)
    assert any(each.text.startswith(f"ejected {hung}") for each in harness.actions_of(Log))
    servers_used = [each.server for _, each in harness.attempts(unanswered[0])]
    assert len(servers_used) > 1
    assert hung not in servers_used[1:]


def test_an_ejected_server_gets_one_half_open_attempt_at_a_time() -> None:
    harness = BalancerHarness()
    hung, unanswered = traffic_with_one_hung_server(harness, 20)
    before = len([1 for _, each in harness.attempts() if each.server == hung])
    for request in unanswered:
        harness.end_attempt(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        harness.advance(60 * MILLISECOND_US)
        request = harness.send_request()
        if harness.server_of(request) != hung:
            harness.end_attempt(request)
    half_open_attempts = len([1 for _, each in harness.attempts() if each.server == hung]) - before
    assert half_open_attempts == 1
    half_open = next(each.request for _, each in reversed(harness.attempts()) if each.server == hung)
    harness.end_attempt(half_open, attempt=0)
    assert harness.actions_of(Log)[-1].text == f"readmitted {hung}"


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CANCELLED])
def test_an_unanswered_half_open_attempt_keeps_the_server_ejected(outcome: Outcome) -> None:
    harness = BalancerHarness()
    hung, unanswered = traffic_with_one_hung_server(harness, 20)
    for request in unanswered:
        harness.end_attempt(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    harness.advance(10 * SECOND_US)  # the ejection has expired
    half_open = harness.send_request()
    assert harness.server_of(half_open) == hung
    harness.end_attempt(half_open, outcome)
    harness.end_attempt(half_open)  # the retry succeeds at another server
    sent_before = len(harness.attempts())
    harness.serve_requests(20)
    servers_used = [each.server for _, each in harness.attempts()[sent_before:]]
    assert servers_used
    assert hung not in servers_used


def test_servers_that_all_hang_are_not_all_ejected() -> None:
    harness = ready_harness(6)
    harness.serve_requests(120)
    for _ in range(200):
        harness.send_request("pay")
        harness.advance(15 * MILLISECOND_US)
    ejected = [
        each for each in harness.balancer._context.registry.servers.values() if each.ejected_until is not None
    ]
    assert len(ejected) <= 2


def test_a_timeout_at_a_responsive_server_does_not_count_as_a_failure() -> None:
    harness = ready_harness(1)
    for _ in range(6):
        harness.serve_requests(60)
        earlier = harness.send_request("pay", remaining_us=SECOND_US)
        harness.advance(900 * MILLISECOND_US)
        later = harness.send_request("pay")
        harness.advance(50 * MILLISECOND_US)
        harness.end_attempt(later)
        harness.advance(30 * MILLISECOND_US)
        harness.end_attempt(earlier, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in each.text for each in harness.actions_of(Log))


def test_a_restarted_server_is_readmitted_into_slow_start() -> None:
    harness = BalancerHarness()
    hung, _ = traffic_with_one_hung_server(harness, 20)
    harness.update_servers([Endpoint(hung, "east", started_at=harness.now)], RegistryUpdateKind.DELTA)
    server = harness.balancer._context.registry.servers[hung]
    assert server.ejected_until is None
    assert harness.balancer._slow_start.is_warming_up(server)


def record_failures(context: Context, outliers: OutlierDetector, server: Server, times: int) -> None:
    for _ in range(times):
        request = make_request(context)
        attempt = start_attempt(context, request, server)
        context.load.change_attempts(server, -1)
        outliers.attempt_ended(request, attempt, Outcome.ERROR)


def test_only_consecutive_failures_eject_a_server() -> None:
    context = make_context()
    outliers = OutlierDetector(context, SlowStart(context))
    first, second = context.registry.ready[:2]
    record_failures(context, outliers, first, FAILURES_TO_EJECT)
    record_failures(context, outliers, second, FAILURES_TO_EJECT - 1)
    request = make_request(context)
    outliers.attempt_ended(request, start_attempt(context, request, second), Outcome.SUCCEEDED)
    record_failures(context, outliers, second, FAILURES_TO_EJECT - 1)
    assert outliers.ejected == [first]
    assert second.ejected_until is None
    assert context.actions == [Log(f"ejected {first.name}: error")]


def test_each_failed_half_open_attempt_doubles_the_ejection_time_up_to_a_maximum() -> None:
    context = make_context()
    outliers = OutlierDetector(context, SlowStart(context))
    server = context.registry.ready[0]
    record_failures(context, outliers, server, FAILURES_TO_EJECT)
    ejection_times = []
    for _ in range(6):
        assert server.ejected_until is not None
        ejection_times.append((server.ejected_until - context.now) / TARGET_US)
        context.clock.now = server.ejected_until
        request = make_request(context)
        assert outliers.half_open_candidate(request) is server
        server.half_open_attempt = start_attempt(context, request, server)
        assert outliers.half_open_candidate(make_request(context)) is None
        context.load.change_attempts(server, -1)
        outliers.attempt_ended(request, server.half_open_attempt, Outcome.ERROR)
    for ejection_time, targets in zip(ejection_times, [2, 4, 8, 16, 16, 16], strict=True):
        assert 0.75 * targets <= ejection_time <= 1.25 * targets


def test_the_ejected_fraction_of_servers_is_bounded() -> None:
    context = make_context(servers=10)
    outliers = OutlierDetector(context, SlowStart(context))
    for server in context.registry.ready:
        record_failures(context, outliers, server, FAILURES_TO_EJECT)
    assert len(outliers.ejected) == 6


def test_load_at_ejected_servers_is_excluded_until_they_are_readmitted() -> None:
    context = make_context()
    outliers = OutlierDetector(context, SlowStart(context))
    server = context.registry.ready[0]
    add_load(context, 5)
    outliers.eject(server, "test")
    assert context.load.total() == 0
    assert context.load.attempts_at(server) == 5
    outliers.readmit(server)
    assert context.load.total() == 5
