"""Zone affinity: the local zone is preferred while it is about as fast as the others."""

from __future__ import annotations

from balancer_harness import MILLISECOND_US, BalancerHarness, server_names, settings
from ready_balancer import endpoints_in_two_zones


def cross_zone_ratio(harness: BalancerHarness, local_us: int, remote_us: int) -> float:
    """The fraction of requests sent to the other zone, given the latency in each zone."""
    harness.update_servers(endpoints_in_two_zones(4))
    local = set(server_names(8)[:4])
    for _ in range(600):
        request = harness.send_request()
        harness.advance(local_us if harness.server_of(request) in local else remote_us)
        harness.end_attempt(request)
    settled = harness.attempts()[300:]
    return sum(1 for _, each in settled if each.server not in local) / len(settled)


def test_the_local_zone_is_preferred_at_similar_latency_where_crossing_zones_is_priced() -> None:
    ratio_sum = sum(
        cross_zone_ratio(
            BalancerHarness(settings(prices={"cross_zone": 0.03}), seed=seed),
            40 * MILLISECOND_US,
            44 * MILLISECOND_US,
        )
        for seed in range(5)
    )
    assert ratio_sum < 5 * 0.3


def test_a_slow_local_zone_loses_its_traffic() -> None:
    assert (
        cross_zone_ratio(
            BalancerHarness(settings(prices={"cross_zone": 0.03})), 90 * MILLISECOND_US, 40 * MILLISECOND_US
        )
        > 0.5
    )
