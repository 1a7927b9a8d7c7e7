"""Stalls: a balancer that was stalled itself blames no server for the delay."""

from __future__ import annotations

from balancer_stage import LOAD_PROBING, answer_health_checks, ready_stage, two_zones
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import Stage, names, settings

from sidecar.balancer.actions import Log
from sidecar.balancer.events import Outcome


def stall(stage: Stage, span_us: int) -> None:
    """Stall the balancer; then the timers that became due fire at once."""
    stage.now += span_us
    stage.wait(0)


def latency_weights(stage: Stage) -> dict[str, float]:
    return {each.name: each.latency_weight for each in stage.balancer._context.registry.ready}


def test_a_stall_of_the_balancer_is_not_blamed_on_servers() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    weights = latency_weights(stage)
    requests = [stage.request() for _ in range(8)]
    stall(stage, 900 * MILLISECOND_US)
    for each in requests:
        stage.end(each)
    stage.wait(100 * MILLISECOND_US)
    assert latency_weights(stage) == weights
    assert [each for each in stage.said(Log) if "ejected" in each.text] == []


def test_a_stall_is_detected_while_a_queue_of_events_is_processed() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    weights = latency_weights(stage)
    in_flight = [stage.request() for _ in range(16)]
    for _ in in_flight:  # a long queue of events, each soon after the one before, and no timer between
        stage.now += 40 * MILLISECOND_US
        stage.request()
    for each in in_flight:
        stage.now += 5 * MILLISECOND_US
        stage.end(each, Outcome.CONNECT_FAILED)
    assert latency_weights(stage) == weights
    assert [each for each in stage.said(Log) if "ejected" in each.text] == []


def test_slow_servers_are_detected_while_the_balancer_is_not_stalled() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    weights = latency_weights(stage)
    requests = [stage.request() for _ in range(8)]
    stage.wait(900 * MILLISECOND_US)
    for each in requests:
        stage.end(each)
    assert all(each.latency_weight > weights[each.name] for each in stage.balancer._context.registry.ready)


def test_selection_after_a_stall_uses_all_zones_without_health_checks() -> None:
    stage = Stage(settings(**LOAD_PROBING, prices={"cross_zone": 0.1}))
    stage.servers(two_zones(3))
    first = stage.request()
    answer_health_checks(stage, {})
    stage.now += 1 * SECOND_US
    burst = [stage.request() for _ in range(6)]  # all queued when the stall ends
    assert all(len(stage.sends(each)) == 1 for each in (first, *burst))
    assert {stage.target(each) for each in burst} & set(names(6)[3:])


def test_requests_late_after_a_stall_are_shed_where_late_responses_are_worthless() -> None:
    for late_weight, sent in ((0.0, 0), (0.5, 1)):
        stage = ready_stage(
            4,
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * SECOND_US, "latency_target_us": 500 * MILLISECOND_US}
                    | {"late_weight": late_weight}
                ]
            ),
        )
        stage.request("look", 1 * SECOND_US)
        stage.now += 900 * MILLISECOND_US
        late, fresh = stage.request("look", 200 * MILLISECOND_US), stage.request("look", 900 * MILLISECOND_US)
        assert len(stage.sends(late)) == sent
        assert len(stage.sends(fresh)) == 1
