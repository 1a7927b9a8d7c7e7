"""Idempotency: retries never execute a request twice."""

from __future__ import annotations

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, START_US, BalancerHarness, server_names, settings
from policy_context import make_context, make_request, start_attempt
from ready_balancer import ready_harness

from sidecar.balancer.actions import FailRequest, RejectRequest
from sidecar.balancer.events import Endpoint, Outcome
from sidecar.balancer.policy.retries import (
    is_deduplicated_at,
    may_retry,
)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(outcome: Outcome) -> None:
    harness = ready_harness(5)
    request = harness.send_request("pay")
    harness.advance(10 * MILLISECOND_US)
    harness.end_attempt(request, outcome)
    assert len(harness.attempts(request)) == 1
    assert [each.request for each in harness.actions_of(FailRequest)] == [request]
    assert harness.actions_of(RejectRequest) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_non_idempotent_request_that_never_ran_is_retried_at_another_server(outcome: Outcome) -> None:
    harness = ready_harness(5)
    request = harness.send_request("pay")
    harness.advance(10 * MILLISECOND_US)
    harness.end_attempt(request, outcome)
    servers_used = [each.server for _, each in harness.attempts(request)]
    assert len(servers_used) == 2
    assert servers_used[0] != servers_used[1]


def endpoints_in_two_cells() -> list[Endpoint]:
    return [Endpoint(name, zone="east", cell=index % 2) for index, name in enumerate(server_names(8))]


def test_retries_with_an_idempotency_key_stay_in_the_cell() -> None:
    for seed in range(20):
        harness = BalancerHarness(seed=seed)
        harness.update_servers(endpoints_in_two_cells())
        cell_of = {each.name: each.cell for each in endpoints_in_two_cells()}
        request = harness.send_request("amend")
        for _ in range(3):
            harness.advance(10 * MILLISECOND_US)
            harness.end_attempt(request, Outcome.RESET)
        servers_used = [each.server for _, each in harness.attempts(request)]
        assert len(servers_used) > 1
        assert len({cell_of[each] for each in servers_used}) == 1


def test_a_request_is_not_retried_after_its_deduplication_window() -> None:
    harness = BalancerHarness()
    harness.update_servers(endpoints_in_two_cells())
    request = harness.send_request("amend", remaining_us=4 * SECOND_US)
    harness.advance(2 * SECOND_US)
    harness.end_attempt(request, Outcome.RESET)
    assert len(harness.attempts(request)) == 1
    assert [each.request for each in harness.actions_of(FailRequest)] == [request]


def test_every_attempt_must_be_written_within_the_deduplication_window() -> None:
    # Guards against a retry that is written too late because its connection took long to open: the proxy
    # needs to know the end of the window.
    harness = BalancerHarness()
    harness.update_servers(endpoints_in_two_cells())
    request = harness.send_request("amend", remaining_us=4 * SECOND_US)
    harness.end_attempt(request, Outcome.REJECTED)  # it did not run
    harness.advance(100 * MILLISECOND_US)
    sent_at = harness.now
    harness.end_attempt(request, Outcome.CONNECT_FAILED)  # it did not run here, either
    harness.advance(500 * MILLISECOND_US)
    harness.end_attempt(request, Outcome.RESET)
    write_deadlines = [send.write_by for _, send in harness.attempts(request)]
    assert (
        write_deadlines
        == [START_US + 2 * SECOND_US - 5 * MILLISECOND_US] * 2
        + [sent_at + 2 * SECOND_US - 5 * MILLISECOND_US] * 2
    )
    assert [send.write_by for _, send in harness.attempts(harness.send_request("pay"))] == [None]


def test_a_non_idempotent_request_is_not_retried_after_late_shedding() -> None:
    harness = ready_harness(5, settings(rules={"late_shedding": True}))
    request = harness.send_request("pay")
    harness.advance(10 * MILLISECOND_US)
    harness.end_attempt(request, Outcome.REJECTED)
    assert len(harness.attempts(request)) == 1
    assert [each.request for each in harness.actions_of(FailRequest)] == [request]
    assert harness.actions_of(RejectRequest) == []


def test_retries_after_late_shedding_stay_in_the_cell_and_the_deduplication_window() -> None:
    for seed in range(20):
        harness = BalancerHarness(settings(rules={"late_shedding": True}), seed=seed)
        harness.update_servers(endpoints_in_two_cells())
        cell_of = {each.name: each.cell for each in endpoints_in_two_cells()}
        request = harness.send_request("amend", remaining_us=4 * SECOND_US)
        for _ in range(2):
            harness.advance(10 * MILLISECOND_US)
            harness.end_attempt(request, Outcome.REJECTED)
        servers_used = [each.server for _, each in harness.attempts(request)]
        assert len(servers_used) == 3
        assert len({cell_of[each] for each in servers_used}) == 1
        harness.advance(2 * SECOND_US)
        harness.end_attempt(request, Outcome.REJECTED)
        assert len(harness.attempts(request)) == 3
        assert [each.request for each in harness.actions_of(FailRequest)] == [request]


@pytest.mark.parametrize(("class_name", "is_retried"), [("look", True), ("pay", False), ("amend", True)])
def test_an_attempt_that_may_have_run_is_retried_only_for_idempotent_classes(
    class_name: str, is_retried: bool
) -> None:
    context = make_context()
    request = make_request(context, class_name)
    assert may_retry(request, context.now, 5 * MILLISECOND_US)
    attempt = start_attempt(context, request, context.registry.ready[0])
    assert may_retry(request, context.now, 5 * MILLISECOND_US) is is_retried
    attempt.may_have_run = False
    assert may_retry(request, context.now, 5 * MILLISECOND_US)


def test_deduplication_is_bounded_by_the_cell_and_the_window() -> None:
    context = make_context()
    request = make_request(context, "amend")
    first, other = context.registry.ready[:2]
    other.cell = first.cell + 1
    start_attempt(context, request, first)
    assert is_deduplicated_at(request, first)
    assert not is_deduplicated_at(request, other)
    window_end = context.now + request.service_class.dedup_window_us
    assert may_retry(request, window_end - 6 * MILLISECOND_US, 5 * MILLISECOND_US)
    assert not may_retry(request, window_end - 5 * MILLISECOND_US, 5 * MILLISECOND_US)
