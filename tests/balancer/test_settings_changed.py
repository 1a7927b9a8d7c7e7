"""Changes of the settings while requests are in progress: what applies to them, and which state is kept."""

from __future__ import annotations

from typing import Any

import pytest
from balancer_harness import KEYED, MILLISECOND_US, SAFE, SECOND_US, UNSAFE, BalancerHarness, settings
from ready_balancer import ready_harness

from sidecar.balancer.actions import CancelAttempt, FailRequest, Log, RejectRequest, WatchRegistry
from sidecar.balancer.events import ClientDisconnected, Endpoint, Outcome, SettingsChanged

ENTRY_COUNT = 1_024


def change_settings(harness: BalancerHarness, **changes: Any) -> None:
    harness.handle(SettingsChanged(settings(**changes)))


def test_a_lower_attempt_limit_applies_at_once_and_a_higher_one_to_new_requests() -> None:
    harness = ready_harness(6, settings(limits={"max_attempts": 3}))
    first = harness.send_request()
    change_settings(harness, limits={"max_attempts": 1})
    harness.end_attempt(first, Outcome.ERROR)
    assert len(harness.attempts(first)) == 1
    assert harness.actions_of(RejectRequest)
    second = harness.send_request()
    change_settings(harness, limits={"max_attempts": 3})
    harness.end_attempt(second, Outcome.ERROR)
    assert len(harness.attempts(second)) == 1
    third = harness.send_request()
    harness.end_attempt(third, Outcome.ERROR)
    assert len(harness.attempts(third)) == 2


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_an_attempt_is_cancelled_only_where_cancelling_was_always_enabled(before: bool, after: bool) -> None:
    harness = ready_harness(6, settings(limits={"allow_cancel": before}))
    request = harness.send_request()
    change_settings(harness, limits={"allow_cancel": after})
    harness.handle(ClientDisconnected(request))
    assert not harness.actions_of(CancelAttempt)


def test_a_request_in_progress_keeps_its_idempotency() -> None:
    harness = ready_harness(6, settings(classes=[SAFE, UNSAFE]))
    request = harness.send_request("pay")
    change_settings(harness, classes=[SAFE, UNSAFE | {"idempotency": "safe"}])
    harness.end_attempt(request, Outcome.RESET)
    assert len(harness.attempts(request)) == 1
    assert harness.actions_of(FailRequest)
    later = harness.send_request("pay")
    harness.end_attempt(later, Outcome.RESET)
    assert len(harness.attempts(later)) == 2


def test_a_request_in_progress_keeps_its_class_after_that_is_removed() -> None:
    harness = ready_harness(6)
    request = harness.send_request("amend", remaining_us=4 * SECOND_US)
    change_settings(harness, classes=[SAFE])
    harness.end_attempt(request, Outcome.RESET)
    [(first_at, _), (_, retry)] = harness.attempts(request)
    # The deduplication window of the removed class still applies.
    assert retry.write_by is not None
    assert retry.write_by <= first_at + 2 * SECOND_US
    harness.end_attempt(request)
    assert not harness.balancer._requests


@pytest.mark.parametrize("late_shedding_before", [True, False])
def test_a_rejection_may_have_run_if_late_shedding_was_ever_enabled(late_shedding_before: bool) -> None:
    harness = ready_harness(6, settings(rules={"late_shedding": late_shedding_before}))
    request = harness.send_request("pay")
    change_settings(harness, rules={"late_shedding": not late_shedding_before})
    harness.end_attempt(request, Outcome.REJECTED)
    assert len(harness.attempts(request)) == 1
    assert harness.actions_of(FailRequest)
    change_settings(harness, rules={"late_shedding": False})
    later = harness.send_request("pay")
    harness.end_attempt(later, Outcome.REJECTED)
    assert len(harness.attempts(later)) == 2


def test_the_local_zone_changes_at_once() -> None:
    harness = ready_harness(6)
    harness.update_servers([Endpoint("a", zone="east"), Endpoint("b", zone="west")])
    change_settings(harness, zone="west")
    [local] = harness.balancer._context.registry.ready_local
    assert local.name == "b"


def test_learned_state_survives_unrelated_settings_changes() -> None:
    harness = ready_harness(6)
    harness.serve_requests(60)
    context, balancer = harness.balancer._context, harness.balancer
    relative_latencies = {name: server.relative_latency for name, server in context.registry.servers.items()}
    retry_tokens, usual_latency_us = balancer._retry_budget._tokens, dict(balancer._latency._usual_latency_us)
    median_ratio, arrival_rate = (
        balancer._limit.latency.median,
        balancer._slow_start.arrivals.per_us(harness.now),
    )
    change_settings(harness, classes=[SAFE | {"priority_weight": 5}, UNSAFE, KEYED])
    assert {
        name: server.relative_latency for name, server in context.registry.servers.items()
    } == relative_latencies
    assert (balancer._retry_budget._tokens, balancer._latency._usual_latency_us) == (
        retry_tokens,
        usual_latency_us,
    )
    assert balancer._limit.latency.median == median_ratio
    assert balancer._slow_start.arrivals.per_us(harness.now) == arrival_rate
    harness.send_request()
    [traffic] = balancer._admission._priorities._traffic.values()
    assert traffic.service_class.priority_weight == 5


def test_time_constants_and_ratios_follow_their_settings() -> None:
    harness = ready_harness(6)
    harness.serve_requests(20)
    balancer = harness.balancer
    limit, arrivals = balancer._limit, balancer._slow_start.arrivals
    limit.limit, limit.latency.median = 10.0, 0.2
    rate = arrivals.per_us(harness.now)
    shorter = [each | {"latency_target_us": 250 * MILLISECOND_US} for each in (SAFE, UNSAFE, KEYED)]
    change_settings(harness, classes=shorter, rules={"overload_window_us": 1 * SECOND_US})
    assert (limit.limit, limit.latency.median) == (5.0, 0.4)
    assert balancer._admission._low_traffic_shedder._timely._span_us == 4 * 250 * MILLISECOND_US
    assert arrivals._span_us == 2 * SECOND_US
    assert arrivals.per_us(harness.now) == pytest.approx(rate)


def test_state_of_removed_classes_and_tenants_is_released() -> None:
    harness = ready_harness(6)
    for number in range(50):
        name = f"c{number}"
        change_settings(harness, classes=[SAFE | {"name": name}], tenants=[{"name": f"t{number}"}])
        request = harness.send_request(name, tenant=f"t{number}", cost_us=1_000)
        harness.end_attempt(request, Outcome.REJECTED, report={"util": 0.1})
        harness.end_attempt(request)
    change_settings(harness)
    balancer = harness.balancer
    assert not balancer._latency._usual_latency_us
    assert not balancer._latency._mean_cost_us
    assert not balancer._admission._priorities._traffic
    assert not balancer._admission._stale_requests._longest_remaining_us
    assert not any(server.rejection_backoffs for server in balancer._context.registry.servers.values())


def test_only_a_change_of_the_discovery_mode_starts_a_watch() -> None:
    harness = ready_harness(3, settings(discovery="pushed"))
    change_settings(harness, discovery="pushed", zone="west")
    assert not harness.actions_of(WatchRegistry)
    change_settings(harness, discovery="on_request")
    assert harness.actions_of(WatchRegistry) == [WatchRegistry(True)]
    change_settings(harness, discovery="on_request", zone="west")
    assert len(harness.actions_of(WatchRegistry)) == 1


def test_a_shortened_deadline_is_not_mistaken_for_queueing_in_a_stall() -> None:
    harness = ready_harness(6)
    harness.serve_requests(5)
    harness.send_request()  # stalls are detected only while a request is in flight
    change_settings(
        harness, classes=[SAFE | {"deadline_us": 1 * SECOND_US, "latency_target_us": 500 * MILLISECOND_US}]
    )
    harness.now += 30 * SECOND_US
    assert harness.attempts(harness.send_request(remaining_us=1 * SECOND_US))


def test_changing_a_thousand_classes_tenants_and_servers_is_deterministic() -> None:
    def run() -> list[Any]:
        harness = ready_harness(ENTRY_COUNT)
        for round_number in range(3):
            classes = [SAFE | {"name": f"c{round_number}-{number}"} for number in range(ENTRY_COUNT)]
            tenants = [{"name": f"t{number}"} for number in range(ENTRY_COUNT)]
            change_settings(harness, classes=classes, tenants=tenants)
            for number in range(0, ENTRY_COUNT, 64):
                harness.send_request(f"c{round_number}-{number}", tenant=f"t{number}")
        return harness.action_log

    assert run() == run()


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_a_request_is_hedged_only_where_hedging_was_always_enabled(before: bool, after: bool) -> None:
    def limits(allow_hedging: bool) -> dict[str, bool]:
        return {"allow_hedging": allow_hedging, "allow_cancel": False}

    harness = ready_harness(4, settings(limits=limits(before)))
    harness.serve_requests(60)
    overdue = harness.send_request()
    change_settings(harness, limits=limits(after))
    served = 0
    for _ in range(40):  # the other servers respond, so the overdue attempt's server seems to hang
        harness.advance(20 * MILLISECOND_US)
        request = harness.send_request()
        if harness.server_of(request) != harness.server_of(overdue):
            harness.end_attempt(request)
            served += 1
    assert served > 20
    assert harness.actions_of(Log)
    assert len(harness.attempts(overdue)) == 1
