"""Selection: best of k, by load and relative latency."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, server_names, settings
from ready_balancer import ready_harness

from sidecar.balancer.actions import RejectRequest
from sidecar.balancer.events import Endpoint, Outcome
from sidecar.balancer.policy.weighted_sampling import sample_by_weight
from sidecar.balancer.state import Server


def test_the_least_loaded_candidate_is_selected() -> None:
    harness = ready_harness(4)  # few enough that all are candidates
    for _ in range(40):
        harness.send_request()
    assert set(Counter(each.server for _, each in harness.attempts()).values()) == {10}


def test_retries_exclude_servers_at_capacity_and_reach_every_server() -> None:
    harness = ready_harness(5)
    request = harness.send_request("pay")
    for _ in range(4):
        harness.end_attempt(request, Outcome.REJECTED)
    servers_used = [each.server for _, each in harness.attempts(request)]
    assert sorted(servers_used) == server_names(5)
    harness.end_attempt(request, Outcome.REJECTED)
    assert [each.request for each in harness.actions_of(RejectRequest)] == [request]


def test_the_only_server_is_selected() -> None:
    harness = ready_harness(1)
    assert harness.server_of(harness.send_request()) == server_names(1)[0]


def test_slower_servers_are_selected_less() -> None:
    harness = ready_harness(12)
    slow = server_names(12)[0]
    for _ in range(1_500):
        request = harness.send_request()
        harness.advance(90 * MILLISECOND_US if harness.server_of(request) == slow else 30 * MILLISECOND_US)
        harness.end_attempt(request)
    settled = Counter(each.server for _, each in harness.attempts()[500:])
    assert settled[slow] < 0.6 * sum(settled.values()) / 12


def test_nominal_capacity_sets_the_initial_relative_latency() -> None:
    harness = BalancerHarness()
    harness.update_servers(
        [
            Endpoint(name, "east", capacity_weight=4.0 if name == server_names(8)[0] else 1.0)
            for name in server_names(8)
        ]
    )
    for _ in range(200):
        request = harness.send_request()
        harness.end_attempt(request)
    early = Counter(each.server for _, each in harness.attempts()[:40])
    assert early[server_names(8)[0]] > 40 / 8


def test_a_cancelled_attempt_counts_as_load_for_a_while() -> None:
    harness = ready_harness(2)
    request = harness.send_request("pay", remaining_us=400 * MILLISECOND_US)
    cancelled_at = harness.server_of(request)
    harness.advance(395 * MILLISECOND_US)  # the request has failed, and its attempt is being cancelled
    harness.end_attempt(request, Outcome.CANCELLED, answered=True)
    other = harness.send_request("pay")
    assert harness.server_of(other) != cancelled_at
    third = harness.send_request("pay")
    assert harness.server_of(third) in server_names(2)
    harness.advance(SECOND_US)
    assert (
        harness.balancer._context.load.attempts_at(harness.balancer._context.registry.servers[cancelled_at])
        <= 1
    )


def test_fast_errors_do_not_attract_more_requests() -> None:
    harness = ready_harness(6)
    failing = server_names(6)[2]
    for _ in range(300):
        harness.advance(10 * MILLISECOND_US)
        request = harness.send_request("pay")
        if harness.server_of(request) == failing:
            harness.end_attempt(request, Outcome.ERROR)
        else:
            harness.advance(40 * MILLISECOND_US)
            harness.end_attempt(request)
    assert sum(1 for _, each in harness.attempts() if each.server == failing) < 300 / 6


def test_expensive_requests_avoid_slow_servers_more_than_cheap_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = BalancerHarness()
    harness.update_servers(
        [
            Endpoint(name, "east", capacity_weight=0.5 if name == server_names(5)[0] else 1.0)
            for name in server_names(5)
        ]
    )
    relative_weights: list[float] = []

    def record(rng: random.Random, subset: list[Server], weights: list[float], count: int) -> list[Server]:
        relative_weights.append(weights[0] / weights[1])
        return sample_by_weight(rng, subset, weights, count)

    monkeypatch.setattr("sidecar.balancer.policy.selection.sample_by_weight", record)
    for cost in (20 * MILLISECOND_US, 20 * MILLISECOND_US, 100 * MILLISECOND_US):
        harness.end_attempt(harness.send_request(cost_us=cost))
    assert relative_weights[2] < 0.5 * relative_weights[0]


def test_a_server_with_intermittent_fast_errors_is_selected_less() -> None:
    harness = ready_harness(12)
    failing = server_names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = harness.send_request("pay")
        server = harness.server_of(request)
        harness.advance(5 * MILLISECOND_US if server == failing else 40 * MILLISECOND_US)
        errors += server == failing
        harness.end_attempt(request, Outcome.ERROR if server == failing and errors % 2 else Outcome.SUCCEEDED)
    assert sum(1 for _, each in harness.attempts()[400:] if each.server == failing) < 0.5 * 800 / 12


def test_a_rejection_at_capacity_backs_off_that_class_only() -> None:
    # The four servers without backoff are all candidates.
    harness = ready_harness(5, settings(rules={"late_shedding": True}))
    first = harness.send_request("pay")
    at_capacity = harness.server_of(first)
    harness.end_attempt(first, Outcome.REJECTED, report={"util": 0.3})
    for _ in range(24):
        harness.send_request("pay")
        harness.send_request("look")
    unsafe_servers = {each.server for _, each in harness.attempts() if each.request % 2 == 0}
    safe_servers = {
        each.server for _, each in harness.attempts() if each.request % 2 == 1 and each.request != first
    }
    assert at_capacity in safe_servers
    assert at_capacity not in unsafe_servers


def test_a_server_is_selected_again_once_its_backoff_has_expired() -> None:
    harness = ready_harness(5)  # the four servers without backoff are all candidates
    request = harness.send_request("amend")
    at_capacity = harness.server_of(request)
    harness.end_attempt(request, Outcome.REJECTED, report={"util": 0.3})
    harness.end_attempt(request)
    for wait_us, is_selected in ((100 * MILLISECOND_US, False), (20 * SECOND_US, True)):
        harness.advance(wait_us)
        # Each request goes to the least loaded server.
        servers_used = {harness.server_of(harness.send_request("amend")) for _ in range(4)}
        assert (at_capacity in servers_used) is is_selected
        for number in range(harness.attempts()[-1][1].request - 3, harness.attempts()[-1][1].request + 1):
            harness.end_attempt(number)


def test_requests_are_still_attempted_where_every_server_is_in_backoff() -> None:
    harness = ready_harness(3)
    request = harness.send_request("pay")
    for _ in range(3):
        harness.end_attempt(request, Outcome.REJECTED, report={"util": 0.3})
    assert [each.request for each in harness.actions_of(RejectRequest)] == [request]
    assert len(harness.attempts(harness.send_request("pay"))) == 1
