"""Settings that change while requests are in progress: what takes force, what stays, what is forgotten."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import KEYED, MS, SAFE, UNSAFE, S, Stage, names, settings

from topazbank.interface import (
    Cancel,
    Endpoint,
    Fail,
    Log,
    Outcome,
    Refuse,
    RequestGone,
    SettingsChanged,
    WatchRegistry,
)
from topazbank.settings import Settings

MANY = 1_024


def stage(given: Settings | None = None, servers: int = 6) -> Stage:
    made = Stage(given)
    made.servers(names(servers))
    return made


def change(made: Stage, **changes: Any) -> None:
    made.play(SettingsChanged(settings(**changes)))


def test_a_lower_attempt_limit_applies_at_once_and_a_higher_one_to_new_requests() -> None:
    made = stage(settings(limits={"max_attempts": 3}))
    first = made.request()
    change(made, limits={"max_attempts": 1})
    made.end(first, Outcome.ERROR)
    assert len(made.sends(first)) == 1 and made.said(Refuse)  # a safe request is refused, not failed
    second = made.request()
    change(made, limits={"max_attempts": 3})
    made.end(second, Outcome.ERROR)
    assert len(made.sends(second)) == 1
    third = made.request()
    made.end(third, Outcome.ERROR)
    assert len(made.sends(third)) == 2


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_an_attempt_is_cancelled_only_where_cancelling_was_always_enabled(before: bool, after: bool) -> None:
    made = stage(settings(limits={"allow_cancel": before}))
    request = made.request()
    change(made, limits={"allow_cancel": after})
    made.play(RequestGone(request))
    assert not made.said(Cancel)


def test_a_request_in_progress_keeps_its_idempotency() -> None:
    made = stage(settings(classes=[SAFE, UNSAFE]))
    request = made.request("pay")
    change(made, classes=[SAFE, UNSAFE | {"idempotency": "safe"}])
    made.end(request, Outcome.DROPPED)
    assert len(made.sends(request)) == 1 and made.said(Fail)
    later = made.request("pay")
    made.end(later, Outcome.DROPPED)
    assert len(made.sends(later)) == 2


def test_a_request_in_progress_keeps_its_class_after_that_is_removed() -> None:
    made = stage()
    request = made.request("amend", remaining_us=4 * S)
    change(made, classes=[SAFE])
    made.end(request, Outcome.DROPPED)
    [(first_at, _), (_, again)] = made.sends(request)
    assert again.write_by is not None and again.write_by <= first_at + 2 * S  # its window
    made.end(request)
    assert not made.balancer._requests


@pytest.mark.parametrize("late_before", [True, False])
def test_a_rejection_may_have_run_if_late_shedding_was_ever_enabled(late_before: bool) -> None:
    made = stage(settings(rules={"late_shedding": late_before}))
    request = made.request("pay")
    change(made, rules={"late_shedding": not late_before})
    made.end(request, Outcome.FULL)
    assert len(made.sends(request)) == 1 and made.said(Fail)
    change(made, rules={"late_shedding": False})
    later = made.request("pay")
    made.end(later, Outcome.FULL)
    assert len(made.sends(later)) == 2


def test_the_local_zone_changes_at_once() -> None:
    made = stage()
    made.servers([Endpoint("a", zone="east"), Endpoint("b", zone="west")])
    change(made, zone="west")
    [local] = made.balancer._context.registry.ready_local
    assert local.name == "b"


def test_learned_state_survives_unrelated_settings_changes() -> None:
    made = stage()
    made.serve(60)
    context, balancer = made.balancer._context, made.balancer
    weights = {name: server.latency_weight for name, server in context.registry.servers.items()}
    budget, usual = balancer._retry_budget._balance, dict(balancer._latency._usual_us)
    ratio, arrivals = balancer._limit.latency_ratio, balancer._slow_start.arrivals.per_us(made.now)
    change(made, classes=[SAFE | {"worth": 5}, UNSAFE, KEYED])
    assert {name: server.latency_weight for name, server in context.registry.servers.items()} == weights
    assert (balancer._retry_budget._balance, balancer._latency._usual_us) == (budget, usual)
    assert balancer._limit.latency_ratio == ratio
    assert balancer._slow_start.arrivals.per_us(made.now) == arrivals
    made.request()
    [traffic] = balancer._admission._traffic.values()
    assert traffic.service_class.worth == 5


def test_time_constants_and_ratios_follow_their_settings() -> None:
    made = stage()
    made.serve(20)
    balancer = made.balancer
    limit, arrivals = balancer._limit, balancer._slow_start.arrivals
    limit.limit, limit.latency_ratio = 10.0, 0.2
    rate = arrivals.per_us(made.now)
    shorter = [each | {"latency_target_us": 250 * MS} for each in (SAFE, UNSAFE, KEYED)]
    change(made, classes=shorter, rules={"overload_window_us": 1 * S})
    assert (limit.limit, limit.latency_ratio) == (5.0, 0.4)
    assert balancer._admission._in_time._span_us == 4 * 250 * MS
    assert arrivals._span_us == 2 * S and arrivals.per_us(made.now) == pytest.approx(rate)


def test_state_of_removed_classes_and_tenants_is_released() -> None:
    made = stage()
    for number in range(50):
        name = f"c{number}"
        change(made, classes=[SAFE | {"name": name}], tenants=[{"name": f"t{number}"}])
        request = made.request(name, tenant=f"t{number}", cost_us=1_000)
        made.end(request, Outcome.FULL, report={"util": 0.1})
        made.end(request)
    change(made)
    balancer = made.balancer
    assert not balancer._latency._usual_us and not balancer._latency._mean_cost_us
    assert not balancer._admission._traffic and not balancer._admission._longest_remaining_us
    assert not any(server.backoff for server in balancer._context.registry.servers.values())


def test_only_a_change_of_the_discovery_mode_starts_a_watch() -> None:
    made = Stage(settings(discovery="pushed"))
    made.servers(names(3))
    change(made, discovery="pushed", zone="west")
    assert not made.said(WatchRegistry)
    change(made, discovery="on_request")
    assert made.said(WatchRegistry) == [WatchRegistry(True)]
    change(made, discovery="on_request", zone="west")
    assert len(made.said(WatchRegistry)) == 1


def test_a_shortened_deadline_is_not_taken_for_queueing_in_a_stall() -> None:
    made = stage()
    made.serve(5)
    made.request()  # while it is out, a stall is noticed
    change(made, classes=[SAFE | {"deadline_us": 1 * S, "latency_target_us": 500 * MS}])
    made.now += 30 * S
    assert made.sends(made.request(remaining_us=1 * S))


def test_changing_a_thousand_classes_tenants_and_servers_is_deterministic() -> None:
    def run() -> list[Any]:
        made = stage(servers=MANY)
        for turn in range(3):
            classes = [SAFE | {"name": f"c{turn}-{number}"} for number in range(MANY)]
            change(made, classes=classes, tenants=[{"name": f"t{number}"} for number in range(MANY)])
            for number in range(0, MANY, 64):
                made.request(f"c{turn}-{number}", tenant=f"t{number}")
        return made.log

    assert run() == run()


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
def test_a_request_is_hedged_only_where_hedging_was_always_enabled(before: bool, after: bool) -> None:
    def limits(hedging: bool) -> dict[str, bool]:
        return {"allow_hedging": hedging, "allow_cancel": False}

    made = stage(settings(limits=limits(before)), servers=4)
    made.serve(60)
    overdue = made.request()
    change(made, limits=limits(after))
    served = 0
    for _ in range(40):  # the others answer, and its server does not
        made.wait(20 * MS)
        request = made.request()
        if made.target(request) != made.target(overdue):
            made.end(request)
            served += 1
    assert served > 20 and made.said(Log) and len(made.sends(overdue)) == 1
