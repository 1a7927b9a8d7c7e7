"""Selection: best of k, by load and latency weight."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import Stage, names, settings

from sidecar.balancer.actions import RejectRequest
from sidecar.balancer.events import Endpoint, Outcome
from sidecar.balancer.policy.weighted_sampling import sample_by_weight
from sidecar.balancer.state import Server


def test_the_least_loaded_candidate_is_selected() -> None:
    stage = ready_stage(4)  # so few that all are candidates
    for _ in range(40):
        stage.request()
    assert set(Counter(each.server for _, each in stage.sends()).values()) == {10}


def test_retries_exclude_servers_at_capacity_and_reach_every_server() -> None:
    stage = ready_stage(5)
    request = stage.request("pay")
    for _ in range(4):
        stage.end(request, Outcome.REJECTED)
    targets = [each.server for _, each in stage.sends(request)]
    assert sorted(targets) == names(5)
    stage.end(request, Outcome.REJECTED)
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_the_only_server_is_selected() -> None:
    stage = ready_stage(1)
    assert stage.target(stage.request()) == names(1)[0]


def test_slower_servers_are_selected_less() -> None:
    stage = ready_stage(12)
    slow = names(12)[0]
    for _ in range(1_500):
        request = stage.request()
        stage.wait(90 * MILLISECOND_US if stage.target(request) == slow else 30 * MILLISECOND_US)
        stage.end(request)
    settled = Counter(each.server for _, each in stage.sends()[500:])
    assert settled[slow] < 0.6 * sum(settled.values()) / 12


def test_nominal_capacity_sets_the_initial_latency_weight() -> None:
    stage = Stage()
    stage.servers([Endpoint(name, "east", nominal=4.0 if name == names(8)[0] else 1.0) for name in names(8)])
    for _ in range(200):
        request = stage.request()
        stage.end(request)
    first = Counter(each.server for _, each in stage.sends()[:40])
    assert first[names(8)[0]] > 40 / 8


def test_a_cancelled_attempt_counts_as_load_for_a_while() -> None:
    stage = ready_stage(2)
    request = stage.request("pay", remaining_us=400 * MILLISECOND_US)
    cancelled_at = stage.target(request)
    stage.wait(395 * MILLISECOND_US)  # cancelled, with the final response already given
    stage.end(request, Outcome.CANCELLED, answered=True)
    other = stage.request("pay")
    assert stage.target(other) != cancelled_at
    third = stage.request("pay")
    assert stage.target(third) in names(2)
    stage.wait(SECOND_US)
    assert stage.balancer._context.load.at(stage.balancer._context.registry.servers[cancelled_at]) <= 1


def test_fast_errors_do_not_attract_more_requests() -> None:
    stage = ready_stage(6)
    bad = names(6)[2]
    for _ in range(300):
        stage.wait(10 * MILLISECOND_US)
        request = stage.request("pay")
        if stage.target(request) == bad:
            stage.end(request, Outcome.ERROR)
        else:
            stage.wait(40 * MILLISECOND_US)
            stage.end(request)
    assert sum(1 for _, each in stage.sends() if each.server == bad) < 300 / 6


def test_expensive_requests_avoid_slow_servers_more_than_cheap_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage()
    stage.servers([Endpoint(name, "east", nominal=0.5 if name == names(5)[0] else 1.0) for name in names(5)])
    relative_weights: list[float] = []

    def record(rng: random.Random, subset: list[Server], weights: list[float], count: int) -> list[Server]:
        relative_weights.append(weights[0] / weights[1])
        return sample_by_weight(rng, subset, weights, count)

    monkeypatch.setattr("sidecar.balancer.policy.selection.sample_by_weight", record)
    for cost in (20 * MILLISECOND_US, 20 * MILLISECOND_US, 100 * MILLISECOND_US):
        stage.end(stage.request(cost_us=cost))
    assert relative_weights[2] < 0.5 * relative_weights[0]


def test_a_server_with_intermittent_fast_errors_is_selected_less() -> None:
    stage = ready_stage(12)
    bad = names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = stage.request("pay")
        target = stage.target(request)
        stage.wait(5 * MILLISECOND_US if target == bad else 40 * MILLISECOND_US)
        errors += target == bad
        stage.end(request, Outcome.ERROR if target == bad and errors % 2 else Outcome.SUCCEEDED)
    assert sum(1 for _, each in stage.sends()[400:] if each.server == bad) < 0.5 * 800 / 12


def test_a_rejection_at_capacity_backs_off_that_class_only() -> None:
    stage = ready_stage(5, settings(rules={"late_shedding": True}))  # without one, all are candidates
    first = stage.request("pay")
    at_capacity = stage.target(first)
    stage.end(first, Outcome.REJECTED, report={"util": 0.3})
    for _ in range(24):
        stage.request("pay")
        stage.request("look")
    unsafe_targets = {each.server for _, each in stage.sends() if each.request % 2 == 0}
    safe_targets = {
        each.server for _, each in stage.sends() if each.request % 2 == 1 and each.request != first
    }
    assert at_capacity in safe_targets
    assert at_capacity not in unsafe_targets


def test_a_server_is_selected_again_once_its_backoff_has_expired() -> None:
    stage = ready_stage(5)  # without one, all are candidates
    request = stage.request("amend")
    at_capacity = stage.target(request)
    stage.end(request, Outcome.REJECTED, report={"util": 0.3})
    stage.end(request)
    for wait, selected in ((100 * MILLISECOND_US, False), (20 * SECOND_US, True)):
        stage.wait(wait)
        targets = {stage.target(stage.request("amend")) for _ in range(4)}  # each to the least loaded
        assert (at_capacity in targets) is selected
        for number in range(stage.sends()[-1][1].request - 3, stage.sends()[-1][1].request + 1):
            stage.end(number)


def test_requests_are_still_attempted_where_every_server_is_in_backoff() -> None:
    stage = ready_stage(3)
    request = stage.request("pay")
    for _ in range(3):
        stage.end(request, Outcome.REJECTED, report={"util": 0.3})
    assert [each.request for each in stage.said(RejectRequest)] == [request]
    assert len(stage.sends(stage.request("pay"))) == 1
