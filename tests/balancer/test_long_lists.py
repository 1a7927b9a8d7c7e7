"""The cost of selecting a server does not grow with the endpoint list, as shown by counts of operations."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, settings

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.state import Server

REQUESTS = 320


def endpoints_in_two_zones(count: int) -> list[Endpoint]:
    zones = ("east", "west")
    return [Endpoint(f"10.1.{number // 250}.{number % 250}:80", zones[number % 2]) for number in range(count)]


def count_servers_weighed(count: int, changes: int = 0) -> int:
    """The number of servers iterated over to compute the weight of other zones, in total for all requests."""
    weighed_counts = []
    weight_by_latency = ZonePreference.weight_by_latency

    def counting(ready: list[Server]) -> float:
        weighed_counts.append(len(ready))
        return weight_by_latency(ready)

    harness = BalancerHarness(settings(prices={"cross_zone": 0.05}))
    endpoints = endpoints_in_two_zones(count)
    harness.update_servers(endpoints)
    with patch.object(ZonePreference, "weight_by_latency", staticmethod(counting)):
        for _ in range(max(changes, 1)):
            if changes:
                harness.update_servers(endpoints[:1], RegistryUpdateKind.DELTA)
            harness.serve_requests(REQUESTS // max(changes, 1), interval_us=20 * MILLISECOND_US)
    return sum(weighed_counts)


@pytest.mark.parametrize("count", [20, 200, 399])
def test_with_a_short_endpoint_list_zones_are_weighed_for_each_request(count: int) -> None:
    assert count_servers_weighed(count) == REQUESTS * count


@pytest.mark.parametrize("count", [400, 800, 3_200])
def test_with_a_long_endpoint_list_zones_are_not_weighed_for_each_request(count: int) -> None:
    assert count_servers_weighed(count) <= REQUESTS * 200 + count


def test_each_change_of_a_long_endpoint_list_weighs_the_zones_again() -> None:
    assert count_servers_weighed(3_200, changes=REQUESTS) == REQUESTS * 3_200


def test_servers_in_slow_start_cost_one_pass_over_the_list_per_change_not_per_request() -> None:
    harness = BalancerHarness(settings())
    harness.update_servers(endpoints_in_two_zones(1_000))
    harness.serve_requests(20)
    slow_start = harness.balancer._slow_start
    restarted = [replace(each, started_at=harness.now) for each in endpoints_in_two_zones(1_000)[:500]]
    harness.update_servers(restarted, RegistryUpdateKind.DELTA)
    servers_checked = 0
    is_warming_up = Server.is_warming_up

    def counting(self: Server, now: int, slow_start_us: int) -> bool:
        nonlocal servers_checked
        servers_checked += 1
        return is_warming_up(self, now, slow_start_us)

    with patch.object(Server, "is_warming_up", counting):
        for _ in range(50):
            harness.advance(20 * MILLISECOND_US)
            harness.send_request()
            slow_start.capacity_estimate.of_warm_server()
    assert servers_checked < 4 * 1_000


def test_reference_servers_are_updated_when_a_server_begins_or_ends_slow_start() -> None:
    harness = BalancerHarness(settings())
    harness.update_servers(endpoints_in_two_zones(6))
    slow_start, servers = harness.balancer._slow_start, harness.balancer._context.registry.ready
    reference_counts = []
    for number in range(4):
        harness.advance(4 * SECOND_US)
        harness.handle(RegistryUpdated(RegistryUpdateKind.DELTA))
        slow_start.start(servers[number], harness.now)
        slow_start.capacity_estimate.of_warm_server()
        reference_counts.append(slow_start.capacity_estimate.current_reference().count)
    # Slow start takes 10 s, so that of the first server ends before that of the fourth begins.
    assert reference_counts == [5, 4, 3, 3]
    harness.advance(2 * SECOND_US)
    harness.handle(RegistryUpdated(RegistryUpdateKind.DELTA))
    slow_start.capacity_estimate.of_warm_server()
    assert slow_start.capacity_estimate.current_reference().count == 4
