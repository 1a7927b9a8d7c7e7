"""Subsetting: a balancer with little traffic uses few servers and adapts faster to each response."""

from __future__ import annotations

from balancer_stage import ready_stage, serve_one_at_a_time
from helpers import MS as MILLISECOND_US


def test_low_traffic_uses_a_small_subset_that_is_replaced_when_it_drains() -> None:
    stage = ready_stage(60)
    serve_one_at_a_time(stage, 200)
    subset = {each.server for _, each in stage.sends()}
    assert 2 <= len(subset) <= 8
    for drained in subset:
        stage.drain(drained)
    serve_one_at_a_time(stage, 50)
    later = {each.server for _, each in stage.sends()[200:]}
    assert later
    assert not later & subset


def test_high_traffic_uses_all_servers() -> None:
    stage = ready_stage(30)
    stage.serve(2_000, every_us=5 * MILLISECOND_US, taking_us=250 * MILLISECOND_US)
    assert len({each.server for _, each in stage.sends()}) == 30


def test_low_traffic_balancers_use_different_subsets() -> None:
    first: set[str] = set()
    for seed in range(12):
        stage = ready_stage(60, seed=seed)
        serve_one_at_a_time(stage, 20)
        first |= {each.server for _, each in stage.sends()}
    assert len(first) > 25


def test_latency_weights_adapt_faster_at_low_traffic() -> None:
    def change(every_us: int, taking_us: int, one_at_a_time: bool) -> float:
        stage = ready_stage(4)
        if one_at_a_time:
            serve_one_at_a_time(stage, 400, taking_us, every_us)
        else:
            stage.serve(400, every_us, taking_us)
        request = stage.request()
        server = stage.balancer._context.registry.servers[stage.target(request)]
        stage.wait(2 * taking_us)
        before = server.latency_weight
        stage.end(request)
        return server.latency_weight - before

    assert (
        change(400 * MILLISECOND_US, 60 * MILLISECOND_US, True)
        > 2 * change(5 * MILLISECOND_US, 60 * MILLISECOND_US, False)
        > 0.0
    )
