"""Stalls: a balancer that itself stood still blames no server for the delay."""

from __future__ import annotations

from balancer_stage import LOAD_PROBING, answer_probes, ready_stage, two_zones_of_three
from helpers import MS, S, Stage, names, settings

from topazbank.interface import (
    Log,
    Outcome,
)


def stall(stage: Stage, span_us: int) -> None:
    """Time passes unseen; then the timers that fell due meanwhile fire at once."""
    stage.now += span_us
    stage.wait(0)


def test_a_stall_of_the_balancer_is_not_blamed_on_servers() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    paces = {each.name: each.latency_weight for each in stage.balancer._context.registry.ready}
    requests = [stage.request() for _ in range(8)]
    stall(stage, 900 * MS)
    for each in requests:
        stage.end(each)
    stage.wait(100 * MS)
    assert {each.name: each.latency_weight for each in stage.balancer._context.registry.ready} == paces
    assert [each for each in stage.said(Log) if "ejected" in each.text] == []


def test_a_stall_is_detected_while_a_queue_of_events_is_processed() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    paces = {each.name: each.latency_weight for each in stage.balancer._context.registry.ready}
    held = [stage.request() for _ in range(16)]
    for _ in held:  # a long queue of events: each comes soon after the one before, and no timer between
        stage.now += 40 * MS
        stage.request()
    for each in held:
        stage.now += 5 * MS
        stage.end(each, Outcome.DIAL_FAILED)
    assert {each.name: each.latency_weight for each in stage.balancer._context.registry.ready} == paces
    assert [each for each in stage.said(Log) if "ejected" in each.text] == []


def test_slow_servers_are_detected_while_the_balancer_is_not_stalled() -> None:
    stage = ready_stage(4)
    stage.serve(200)
    paces = {each.name: each.latency_weight for each in stage.balancer._context.registry.ready}
    requests = [stage.request() for _ in range(8)]
    stage.wait(900 * MS)
    for each in requests:
        stage.end(each)
    assert all(each.latency_weight > paces[each.name] for each in stage.balancer._context.registry.ready)


def test_selection_after_a_stall_uses_all_zones_without_probing() -> None:
    stage = Stage(settings(**LOAD_PROBING, prices={"cross_zone": 0.1}))
    stage.servers(two_zones_of_three())
    first = stage.request()
    answer_probes(stage, {})
    stage.now += 1 * S
    burst = [stage.request() for _ in range(6)]  # found at once on return
    assert all(len(stage.sends(each)) == 1 for each in (first, *burst))
    assert {stage.target(each) for each in burst} & set(names(6)[3:])


def test_requests_past_their_latency_target_after_a_stall_are_shed_where_late_responses_are_worthless() -> (
    None
):
    for worth, sent in ((0.0, 0), (0.5, 1)):
        stage = ready_stage(
            4,
            settings(
                classes=[
                    {"name": "look", "deadline_us": 2 * S, "latency_target_us": 500 * MS}
                    | {"late_worth": worth}
                ]
            ),
        )
        stage.request("look", 1 * S)
        stage.now += 900 * MS
        stale, fresh = stage.request("look", 200 * MS), stage.request("look", 900 * MS)
        assert len(stage.sends(stale)) == sent and len(stage.sends(fresh)) == 1
