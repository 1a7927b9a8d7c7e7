"""Idempotency: retries never execute a request twice."""

from __future__ import annotations

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import START, Stage, names, settings
from helpers import S as SECOND_US
from policy_context import make_context, make_request, start_attempt

from sidecar.balancer.actions import FailRequest, RejectRequest
from sidecar.balancer.events import Endpoint, Outcome
from sidecar.balancer.policy.retries import (
    is_deduplicated_at,
    may_retry,
)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(outcome: Outcome) -> None:
    stage = ready_stage(5)
    request = stage.request("pay")
    stage.wait(10 * MILLISECOND_US)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(FailRequest)] == [request]
    assert stage.said(RejectRequest) == []


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_non_idempotent_request_that_never_ran_is_retried_at_another_server(outcome: Outcome) -> None:
    stage = ready_stage(5)
    request = stage.request("pay")
    stage.wait(10 * MILLISECOND_US)
    stage.end(request, outcome)
    targets = [each.server for _, each in stage.sends(request)]
    assert len(targets) == 2
    assert targets[0] != targets[1]


def two_cells() -> list[Endpoint]:
    return [Endpoint(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_retries_with_an_idempotency_key_stay_in_the_cell() -> None:
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.servers(two_cells())
        cell_of = {each.server: each.cell for each in two_cells()}
        request = stage.request("amend")
        for _ in range(3):
            stage.wait(10 * MILLISECOND_US)
            stage.end(request, Outcome.RESET)
        targets = [each.server for _, each in stage.sends(request)]
        assert len(targets) > 1
        assert len({cell_of[each] for each in targets}) == 1


def test_a_request_is_not_retried_after_its_deduplication_window() -> None:
    stage = Stage()
    stage.servers(two_cells())
    request = stage.request("amend", remaining_us=4 * SECOND_US)
    stage.wait(2 * SECOND_US)
    stage.end(request, Outcome.RESET)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(FailRequest)] == [request]


def test_every_attempt_must_be_written_within_the_deduplication_window() -> None:
    # A connection may be established long after the decision: the proxy has to know the end of the window.
    stage = Stage()
    stage.servers(two_cells())
    request = stage.request("amend", remaining_us=4 * SECOND_US)
    stage.end(request, Outcome.REJECTED)  # it never ran
    stage.wait(100 * MILLISECOND_US)
    sent_at = stage.now
    stage.end(request, Outcome.CONNECT_FAILED)  # nor then
    stage.wait(500 * MILLISECOND_US)
    stage.end(request, Outcome.RESET)
    ends = [send.write_by for _, send in stage.sends(request)]
    assert (
        ends
        == [START + 2 * SECOND_US - 5 * MILLISECOND_US] * 2
        + [sent_at + 2 * SECOND_US - 5 * MILLISECOND_US] * 2
    )
    assert [send.write_by for _, send in stage.sends(stage.request("pay"))] == [None]


def test_a_non_idempotent_request_is_not_retried_after_late_shedding() -> None:
    stage = ready_stage(5, settings(rules={"late_shedding": True}))
    request = stage.request("pay")
    stage.wait(10 * MILLISECOND_US)
    stage.end(request, Outcome.REJECTED)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(FailRequest)] == [request]
    assert stage.said(RejectRequest) == []


def test_retries_after_late_shedding_stay_in_the_cell_and_the_deduplication_window() -> None:
    for seed in range(20):
        stage = Stage(settings(rules={"late_shedding": True}), seed=seed)
        stage.servers(two_cells())
        cell_of = {each.server: each.cell for each in two_cells()}
        request = stage.request("amend", remaining_us=4 * SECOND_US)
        for _ in range(2):
            stage.wait(10 * MILLISECOND_US)
            stage.end(request, Outcome.REJECTED)
        targets = [each.server for _, each in stage.sends(request)]
        assert len(targets) == 3
        assert len({cell_of[each] for each in targets}) == 1
        stage.wait(2 * SECOND_US)
        stage.end(request, Outcome.REJECTED)
        assert len(stage.sends(request)) == 3
        assert [each.request for each in stage.said(FailRequest)] == [request]


@pytest.mark.parametrize(("class_name", "repeatable"), [("look", True), ("pay", False), ("amend", True)])
def test_an_attempt_that_may_have_run_is_retried_only_for_idempotent_classes(
    class_name: str, repeatable: bool
) -> None:
    context = make_context()
    request = make_request(context, class_name)
    assert may_retry(request, context.now, 5 * MILLISECOND_US)
    attempt = start_attempt(context, request, context.registry.ready[0])
    assert may_retry(request, context.now, 5 * MILLISECOND_US) is repeatable
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
    forgotten_at = context.now + request.service_class.dedup_window_us
    assert may_retry(request, forgotten_at - 6 * MILLISECOND_US, 5 * MILLISECOND_US)
    assert not may_retry(request, forgotten_at - 5 * MILLISECOND_US, 5 * MILLISECOND_US)
