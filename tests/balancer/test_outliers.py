"""Outlier ejection: failing and hung servers, and their half-open attempts."""

from __future__ import annotations

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import Stage, names
from policy_context import TARGET_US, add_load, make_context, make_request, start_attempt

from sidecar.balancer.actions import Log
from sidecar.balancer.events import Endpoint, Outcome, RegistryUpdateKind
from sidecar.balancer.policy.outliers import FAILURES_TO_EJECT, OutlierDetector
from sidecar.balancer.policy.slow_start import SlowStart
from sidecar.balancer.state import Context, Server


def traffic_with_one_hung_server(stage: Stage, rounds: int) -> tuple[str, list[int]]:
    """Healthy traffic, except that one server hangs after a while; gives it and the requests at it."""
    stage.servers(names(6))
    stage.serve(120)
    first = stage.request()
    hung = stage.target(first)
    unanswered = [first]
    for _ in range(rounds):
        stage.wait(10 * MILLISECOND_US)
        request = stage.request()
        if stage.target(request) == hung:
            unanswered.append(request)
        else:
            stage.wait(30 * MILLISECOND_US)
            stage.end(request)
    return hung, unanswered


def test_a_hung_server_is_ejected_and_its_idempotent_requests_are_retried_elsewhere() -> None:
    stage = Stage()
    hung, unanswered = traffic_with_one_hung_server(stage, 20)
    assert any(each.text.startswith(f"ejected {hung}") for each in stage.said(Log))
    targets = [each.server for _, each in stage.sends(unanswered[0])]
    assert len(targets) > 1
    assert hung not in targets[1:]


def test_an_ejected_server_gets_one_half_open_attempt_at_a_time() -> None:
    stage = Stage()
    hung, unanswered = traffic_with_one_hung_server(stage, 20)
    before = len([1 for _, each in stage.sends() if each.server == hung])
    for request in unanswered:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        stage.wait(60 * MILLISECOND_US)
        request = stage.request()
        if stage.target(request) != hung:
            stage.end(request)
    half_open_attempts = len([1 for _, each in stage.sends() if each.server == hung]) - before
    assert half_open_attempts == 1
    half_open = next(each.request for _, each in reversed(stage.sends()) if each.server == hung)
    stage.end(half_open, attempt=0)
    assert stage.said(Log)[-1].text == f"readmitted {hung}"


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CANCELLED])
def test_an_unanswered_half_open_attempt_keeps_the_server_ejected(outcome: Outcome) -> None:
    stage = Stage()
    hung, unanswered = traffic_with_one_hung_server(stage, 20)
    for request in unanswered:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    stage.wait(10 * SECOND_US)  # the ejection has expired
    half_open = stage.request()
    assert stage.target(half_open) == hung
    stage.end(half_open, outcome)
    stage.end(half_open)  # the retry succeeds at another server
    sent_before = len(stage.sends())
    stage.serve(20)
    targets = [each.server for _, each in stage.sends()[sent_before:]]
    assert targets
    assert hung not in targets


def test_servers_that_all_hang_are_not_all_ejected() -> None:
    stage = ready_stage(6)
    stage.serve(120)
    for _ in range(200):
        stage.request("pay")
        stage.wait(15 * MILLISECOND_US)
    ejected = [
        each for each in stage.balancer._context.registry.servers.values() if each.ejected_until is not None
    ]
    assert len(ejected) <= 2


def test_a_timeout_at_a_responsive_server_does_not_count_as_a_failure() -> None:
    stage = ready_stage(1)
    for _ in range(6):
        stage.serve(60)
        old = stage.request("pay", remaining_us=SECOND_US)
        stage.wait(900 * MILLISECOND_US)
        new = stage.request("pay")
        stage.wait(50 * MILLISECOND_US)
        stage.end(new)
        stage.wait(30 * MILLISECOND_US)
        stage.end(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in each.text for each in stage.said(Log))


def test_a_restarted_server_is_readmitted_into_slow_start() -> None:
    stage = Stage()
    hung, _ = traffic_with_one_hung_server(stage, 20)
    stage.servers([Endpoint(hung, "east", started_at=stage.now)], RegistryUpdateKind.DELTA)
    server = stage.balancer._context.registry.servers[hung]
    assert server.ejected_until is None
    assert stage.balancer._slow_start.is_warming_up(server)


def record_failures(context: Context, outliers: OutlierDetector, server: Server, times: int) -> None:
    for _ in range(times):
        request = make_request(context)
        attempt = start_attempt(context, request, server)
        context.load.change(server, -1)
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
    waits = []
    for _ in range(6):
        assert server.ejected_until is not None
        waits.append((server.ejected_until - context.now) / TARGET_US)
        context.clock.now = server.ejected_until
        request = make_request(context)
        assert outliers.half_open_candidate(request) is server
        server.half_open_attempt = start_attempt(context, request, server)
        assert outliers.half_open_candidate(make_request(context)) is None
        context.load.change(server, -1)
        outliers.attempt_ended(request, server.half_open_attempt, Outcome.ERROR)
    for wait, targets in zip(waits, [2, 4, 8, 16, 16, 16], strict=True):
        assert 0.75 * targets <= wait <= 1.25 * targets


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
    assert context.load.at(server) == 5
    outliers.readmit(server)
    assert context.load.total() == 5
