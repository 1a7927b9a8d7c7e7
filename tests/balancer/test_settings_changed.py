"""Settings that change while requests are in progress: what applies, what stays, what is released."""

from __future__ import annotations

from typing import Any

import pytest
from balancer_stage import ready_stage
from helpers import KEYED, SAFE, UNSAFE, Stage, settings
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US

from sidecar.balancer.actions import CancelAttempt, FailRequest, Log, RejectRequest, WatchRegistry
from sidecar.balancer.events import ClientDisconnected, Endpoint, Outcome, SettingsChanged

COUNT = 1_024


def change_settings(stage: Stage, **changes: Any) -> None:
    stage.play(SettingsChanged(settings(**changes)))


def test_a_lower_attempt_limit_applies_at_once_and_a_higher_one_to_new_requests() -> None:
    stage = ready_stage(6, settings(limits={"max_attempts": 3}))
    first = stage.request()
    change_settings(stage, limits={"max_attempts": 1})
    stage.end(first, Outcome.ERROR)
    assert len(stage.sends(first)) == 1
    assert stage.said(RejectRequest)
    second = stage.request()
    change_settings(stage, limits={"max_attempts": 3})
    stage.end(second, Outcome.ERROR)
    assert len(stage.sends(second)) == 1
    third = stage.request()
    stage.end(third, Outcome.ERROR)
    assert len(stage.sends(third)) == 2


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_an_attempt_is_cancelled_only_where_cancelling_was_always_enabled(before: bool, after: bool) -> None:
    stage = ready_stage(6, settings(limits={"allow_cancel": before}))
    request = stage.request()
    change_settings(stage, limits={"allow_cancel": after})
    stage.play(ClientDisconnected(request))
    assert not stage.said(CancelAttempt)


def test_a_request_in_progress_keeps_its_idempotency() -> None:
    stage = ready_stage(6, settings(classes=[SAFE, UNSAFE]))
    request = stage.request("pay")
    change_settings(stage, classes=[SAFE, UNSAFE | {"idempotency": "safe"}])
    stage.end(request, Outcome.RESET)
    assert len(stage.sends(request)) == 1
    assert stage.said(FailRequest)
    later = stage.request("pay")
    stage.end(later, Outcome.RESET)
    assert len(stage.sends(later)) == 2


def test_a_request_in_progress_keeps_its_class_after_that_is_removed() -> None:
    stage = ready_stage(6)
    request = stage.request("amend", remaining_us=4 * SECOND_US)
    change_settings(stage, classes=[SAFE])
    stage.end(request, Outcome.RESET)
    [(first_at, _), (_, again)] = stage.sends(request)
    # Its deduplication window.
    assert again.write_by is not None
    assert again.write_by <= first_at + 2 * SECOND_US
    stage.end(request)
    assert not stage.balancer._requests


@pytest.mark.parametrize("late_before", [True, False])
def test_a_rejection_may_have_run_if_late_shedding_was_ever_enabled(late_before: bool) -> None:
    stage = ready_stage(6, settings(rules={"late_shedding": late_before}))
    request = stage.request("pay")
    change_settings(stage, rules={"late_shedding": not late_before})
    stage.end(request, Outcome.REJECTED)
    assert len(stage.sends(request)) == 1
    assert stage.said(FailRequest)
    change_settings(stage, rules={"late_shedding": False})
    later = stage.request("pay")
    stage.end(later, Outcome.REJECTED)
    assert len(stage.sends(later)) == 2


def test_the_local_zone_changes_at_once() -> None:
    stage = ready_stage(6)
    stage.servers([Endpoint("a", zone="east"), Endpoint("b", zone="west")])
    change_settings(stage, zone="west")
    [local] = stage.balancer._context.registry.ready_local
    assert local.name == "b"


def test_learned_state_survives_unrelated_settings_changes() -> None:
    stage = ready_stage(6)
    stage.serve(60)
    context, balancer = stage.balancer._context, stage.balancer
    weights = {name: server.latency_weight for name, server in context.registry.servers.items()}
    budget, usual = balancer._retry_budget._balance, dict(balancer._latency._usual_us)
    ratio, arrivals = balancer._limit.latency.median, balancer._slow_start.arrivals.per_us(stage.now)
    change_settings(stage, classes=[SAFE | {"priority_weight": 5}, UNSAFE, KEYED])
    assert {name: server.latency_weight for name, server in context.registry.servers.items()} == weights
    assert (balancer._retry_budget._balance, balancer._latency._usual_us) == (budget, usual)
    assert balancer._limit.latency.median == ratio
    assert balancer._slow_start.arrivals.per_us(stage.now) == arrivals
    stage.request()
    [traffic] = balancer._admission._priorities._traffic.values()
    assert traffic.service_class.priority_weight == 5


def test_time_constants_and_ratios_follow_their_settings() -> None:
    stage = ready_stage(6)
    stage.serve(20)
    balancer = stage.balancer
    limit, arrivals = balancer._limit, balancer._slow_start.arrivals
    limit.limit, limit.latency.median = 10.0, 0.2
    rate = arrivals.per_us(stage.now)
    shorter = [each | {"latency_target_us": 250 * MILLISECOND_US} for each in (SAFE, UNSAFE, KEYED)]
    change_settings(stage, classes=shorter, rules={"overload_window_us": 1 * SECOND_US})
    assert (limit.limit, limit.latency.median) == (5.0, 0.4)
    assert balancer._admission._low_traffic_shedder._timely._span_us == 4 * 250 * MILLISECOND_US
    assert arrivals._span_us == 2 * SECOND_US
    assert arrivals.per_us(stage.now) == pytest.approx(rate)


def test_state_of_removed_classes_and_tenants_is_released() -> None:
    stage = ready_stage(6)
    for number in range(50):
        name = f"c{number}"
        change_settings(stage, classes=[SAFE | {"name": name}], tenants=[{"name": f"t{number}"}])
        request = stage.request(name, tenant=f"t{number}", cost_us=1_000)
        stage.end(request, Outcome.REJECTED, report={"util": 0.1})
        stage.end(request)
    change_settings(stage)
    balancer = stage.balancer
    assert not balancer._latency._usual_us
    assert not balancer._latency._mean_cost_us
    assert not balancer._admission._priorities._traffic
    assert not balancer._admission._stale_requests._longest_remaining_us
    assert not any(server.rejection_backoffs for server in balancer._context.registry.servers.values())


def test_only_a_change_of_the_discovery_mode_starts_a_watch() -> None:
    stage = ready_stage(3, settings(discovery="pushed"))
    change_settings(stage, discovery="pushed", zone="west")
    assert not stage.said(WatchRegistry)
    change_settings(stage, discovery="on_request")
    assert stage.said(WatchRegistry) == [WatchRegistry(True)]
    change_settings(stage, discovery="on_request", zone="west")
    assert len(stage.said(WatchRegistry)) == 1


def test_a_shortened_deadline_is_not_taken_for_queueing_in_a_stall() -> None:
    stage = ready_stage(6)
    stage.serve(5)
    stage.request()  # while it is in flight, a stall is noticed
    change_settings(
        stage, classes=[SAFE | {"deadline_us": 1 * SECOND_US, "latency_target_us": 500 * MILLISECOND_US}]
    )
    stage.now += 30 * SECOND_US
    assert stage.sends(stage.request(remaining_us=1 * SECOND_US))


def test_changing_a_thousand_classes_tenants_and_servers_is_deterministic() -> None:
    def run() -> list[Any]:
        stage = ready_stage(COUNT)
        for turn in range(3):
            classes = [SAFE | {"name": f"c{turn}-{number}"} for number in range(COUNT)]
            tenants = [{"name": f"t{number}"} for number in range(COUNT)]
            change_settings(stage, classes=classes, tenants=tenants)
            for number in range(0, COUNT, 64):
                stage.request(f"c{turn}-{number}", tenant=f"t{number}")
        return stage.log

    assert run() == run()


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_a_request_is_hedged_only_where_hedging_was_always_enabled(before: bool, after: bool) -> None:
    def limits(hedging: bool) -> dict[str, bool]:
        return {"allow_hedging": hedging, "allow_cancel": False}

    stage = ready_stage(4, settings(limits=limits(before)))
    stage.serve(60)
    overdue = stage.request()
    change_settings(stage, limits=limits(after))
    served = 0
    for _ in range(40):  # the other servers answer, and its server hangs
        stage.wait(20 * MILLISECOND_US)
        request = stage.request()
        if stage.target(request) != stage.target(overdue):
            stage.end(request)
            served += 1
    assert served > 20
    assert stage.said(Log)
    assert len(stage.sends(overdue)) == 1
