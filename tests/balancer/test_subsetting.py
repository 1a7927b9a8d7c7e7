"""Subsetting: a balancer with little traffic uses few servers and adapts faster to each response."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US
from ready_balancer import ready_harness, serve_one_at_a_time


def test_low_traffic_uses_a_small_subset_that_is_replaced_when_it_drains() -> None:
    harness = ready_harness(60)
    serve_one_at_a_time(harness, 200)
    subset = {each.server for _, each in harness.attempts()}
    assert 2 <= len(subset) <= 8
    for drained in subset:
        harness.drain(drained)
    serve_one_at_a_time(harness, 50)
    later = {each.server for _, each in harness.attempts()[200:]}
    assert later
    assert not later & subset


def test_high_traffic_uses_all_servers() -> None:
    harness = ready_harness(30)
    harness.serve_requests(2_000, interval_us=5 * MILLISECOND_US, service_time_us=250 * MILLISECOND_US)
    assert len({each.server for _, each in harness.attempts()}) == 30


def test_low_traffic_balancers_use_different_subsets() -> None:
    used: set[str] = set()
    for seed in range(12):
        harness = ready_harness(60, seed=seed)
        serve_one_at_a_time(harness, 20)
        used |= {each.server for _, each in harness.attempts()}
    assert len(used) > 25


def test_relative_latencies_adapt_faster_at_low_traffic() -> None:
    def relative_latency_change(interval_us: int, service_time_us: int, one_at_a_time: bool) -> float:
        harness = ready_harness(4)
        if one_at_a_time:
            serve_one_at_a_time(harness, 400, service_time_us, interval_us)
        else:
            harness.serve_requests(400, interval_us, service_time_us)
        request = harness.send_request()
        server = harness.balancer._context.registry.servers[harness.server_of(request)]
        harness.advance(2 * service_time_us)
        before = server.relative_latency
        harness.end_attempt(request)
        return server.relative_latency - before

    assert (
        relative_latency_change(400 * MILLISECOND_US, 60 * MILLISECOND_US, True)
        > 2 * relative_latency_change(5 * MILLISECOND_US, 60 * MILLISECOND_US, False)
        > 0.0
    )
