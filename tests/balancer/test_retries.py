"""Retries: the limit on attempts and the retry budget."""

from __future__ import annotations

import math

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import settings

from sidecar.balancer.actions import RejectRequest
from sidecar.balancer.events import Outcome
from sidecar.balancer.policy.retries import (
    MAX_RETRY_BALANCE,
    RETRIES_PER_SUCCESS,
    RetryBudget,
)


def test_retries_after_failures_are_bounded() -> None:
    stage = ready_stage(40)
    for _ in range(400):
        stage.wait(MILLISECOND_US)
        request = stage.request()
        while stage.balancer._requests.get(request) is not None:
            stage.end(request, Outcome.RESET)
    assert len(stage.sends()) <= 400 * 1.25 + 10


def test_a_request_is_rejected_where_no_attempts_are_allowed() -> None:
    stage = ready_stage(3, settings(limits={"max_attempts": 0}))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_the_retry_budget_grows_with_each_response_up_to_its_maximum() -> None:
    budget = RetryBudget()
    while budget.try_acquire():
        pass
    for _ in range(math.ceil(1 / RETRIES_PER_SUCCESS) - 1):
        budget.attempt_ended(Outcome.SUCCEEDED)
        assert not budget.has_tokens()
    budget.attempt_ended(Outcome.SUCCEEDED)
    assert budget.try_acquire() and not budget.try_acquire()
    for _ in range(1_000):
        budget.attempt_ended(Outcome.SUCCEEDED)
    spent = 0
    while budget.try_acquire():
        spent += 1
    assert spent == MAX_RETRY_BALANCE


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
