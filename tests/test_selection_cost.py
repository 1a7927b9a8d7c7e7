"""What the selection of a server costs does not grow with the list: counted, not timed."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

import pytest
from helpers import MS, S, Stage, settings

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind
from sidecar.balancer.policy.zone_preference import ZonePreference
from sidecar.balancer.state import Server

REQUESTS = 320


def two_zones(count: int) -> list[Endpoint]:
    zones = ("east", "west")
    return [Endpoint(f"10.1.{number // 250}.{number % 250}:80", zones[number % 2]) for number in range(count)]


def servers_weighed(count: int, changes: int = 0) -> int:
    """How many servers are gone through for the weight of other zones over some requests."""
    weighed = []
    weigh = ZonePreference.weight_by_latency

    def counted(ready: list[Server]) -> float:
        weighed.append(len(ready))
        return weigh(ready)

    stage = Stage(settings(prices={"cross_zone": 0.05}))
    listed = two_zones(count)
    stage.servers(listed)
    with patch.object(ZonePreference, "weight_by_latency", staticmethod(counted)):
        for _ in range(max(changes, 1)):
            if changes:
                stage.servers(listed[:1], RegistryUpdateKind.DELTA)
            stage.serve(REQUESTS // max(changes, 1), every_us=20 * MS)
    return sum(weighed)


@pytest.mark.parametrize("count", [20, 200, 399])
def test_in_a_list_of_usual_size_the_zones_are_weighed_at_each_instant(count: int) -> None:
    assert servers_weighed(count) == REQUESTS * count


@pytest.mark.parametrize("count", [400, 800, 3_200])
def test_in_a_long_list_no_more_servers_are_weighed_for_each_request(count: int) -> None:
    assert servers_weighed(count) <= REQUESTS * 200 + count


def test_each_change_of_a_long_list_has_the_zones_weighed_anew() -> None:
    assert servers_weighed(3_200, changes=REQUESTS) == REQUESTS * 3_200


def test_servers_warming_up_have_the_list_gone_through_once_for_each_change_not_for_each_request() -> None:
    stage = Stage(settings())
    stage.servers(two_zones(1_000))
    stage.serve(20)
    slow_start = stage.balancer._slow_start
    started = [replace(each, started_at=stage.now) for each in two_zones(1_000)[:500]]
    stage.servers(started, RegistryUpdateKind.DELTA)
    looked_at = 0
    is_warming_up = Server.is_warming_up

    def counted(self: Server, now: int, slow_start_us: int) -> bool:
        nonlocal looked_at
        looked_at += 1
        return is_warming_up(self, now, slow_start_us)

    with patch.object(Server, "is_warming_up", counted):
        for _ in range(50):
            stage.wait(20 * MS)
            stage.request()
            slow_start.capacity_estimate.of_warm_server()
    assert looked_at < 4 * 1_000


def test_peers_follow_each_server_that_starts_or_ends_warming_up() -> None:
    stage = Stage(settings())
    stage.servers(two_zones(6))
    slow_start, servers = stage.balancer._slow_start, stage.balancer._context.registry.ready
    warm_counts = []
    for number in range(4):
        stage.wait(4 * S)
        stage.play(RegistryUpdated(RegistryUpdateKind.DELTA))
        slow_start.start(servers[number], stage.now)
        slow_start.capacity_estimate.of_warm_server()
        warm_counts.append(slow_start.capacity_estimate.current_peers().count)
    assert warm_counts == [5, 4, 3, 3]  # slow start takes 10 s: the first is warm again by the fourth
    stage.wait(2 * S)
    stage.play(RegistryUpdated(RegistryUpdateKind.DELTA))
    slow_start.capacity_estimate.of_warm_server()
    assert slow_start.capacity_estimate.current_peers().count == 4
