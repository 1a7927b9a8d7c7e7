"""Retries: the limit on attempts and the retry budget."""

from __future__ import annotations

import math

import pytest
from balancer_harness import MILLISECOND_US, settings
from ready_balancer import ready_harness, serve_one_at_a_time

from sidecar.balancer.actions import FailRequest, RejectRequest
from sidecar.balancer.events import Outcome
from sidecar.balancer.policy.retries import (
    MAX_RETRY_TOKENS,
    TOKENS_PER_SUCCESS,
    RetryBudget,
)


def test_retries_after_failures_are_bounded() -> None:
    harness = ready_harness(40)
    for _ in range(400):
        harness.advance(MILLISECOND_US)
        request = harness.send_request()
        while harness.balancer._requests.get(request) is not None:
            harness.end_attempt(request, Outcome.RESET)
    assert len(harness.attempts()) <= 400 * 1.25 + 10


@pytest.mark.parametrize("class_name", ["look", "pay"])
def test_a_server_that_refuses_connections_fails_no_request(class_name: str) -> None:
    harness = ready_harness(4)
    serve_one_at_a_time(harness, 20)
    requests = [harness.send_request(class_name) for _ in range(12)]
    refusing = harness.server_of(requests[0])
    failed_connects = 0
    for request in requests:
        if harness.server_of(request) == refusing:
            harness.end_attempt(request, Outcome.CONNECT_FAILED)
            failed_connects += 1
    for request in requests:
        harness.end_attempt(request)
    assert failed_connects >= 3  # more than the retry budget allows
    assert not harness.actions_of(RejectRequest)
    assert not harness.actions_of(FailRequest)


def test_a_request_is_rejected_where_no_attempts_are_allowed() -> None:
    harness = ready_harness(3, settings(limits={"max_attempts": 0}))
    request = harness.send_request("look")
    assert harness.attempts(request) == []
    assert [each.request for each in harness.actions_of(RejectRequest)] == [request]


def test_the_retry_budget_grows_with_each_response_up_to_its_maximum() -> None:
    budget = RetryBudget()
    while budget.try_acquire():
        pass
    for _ in range(math.ceil(1 / TOKENS_PER_SUCCESS) - 1):
        budget.attempt_ended(Outcome.SUCCEEDED)
        assert not budget.has_tokens()
    budget.attempt_ended(Outcome.SUCCEEDED)
    assert budget.try_acquire()
    assert not budget.try_acquire()
    for _ in range(1_000):
        budget.attempt_ended(Outcome.SUCCEEDED)
    spent = 0
    while budget.try_acquire():
        spent += 1
    assert spent == MAX_RETRY_TOKENS


@pytest.mark.parametrize("failure", [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_the_retry_budget_is_exhausted_while_more_than_two_attempts_in_five_fail(failure: Outcome) -> None:
    budget = RetryBudget()
    for _ in range(100):  # half fail
        budget.attempt_ended(Outcome.SUCCEEDED)
        budget.attempt_ended(failure)
    assert not budget.has_tokens()
    for _ in range(100):  # a quarter fails
        budget.attempt_ended(failure)
        for _ in range(3):
            budget.attempt_ended(Outcome.SUCCEEDED)
    assert budget.has_tokens()


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT])
def test_the_retry_budget_ignores_outcomes_that_are_neither_response_nor_failure(outcome: Outcome) -> None:
    budget, untouched = RetryBudget(), RetryBudget()
    for _ in range(100):
        budget.attempt_ended(outcome)
    while untouched.try_acquire():
        assert budget.try_acquire()
    assert not budget.has_tokens()
