"""Zone affinity: the local zone is preferred while it is as quick as the others."""

from __future__ import annotations

from helpers import MS, Stage, names, settings

from topazbank.interface import (
    Endpoint,
)


def two_zones_of_four() -> list[Endpoint]:
    return [Endpoint(name, "east" if index < 4 else "west") for index, name in enumerate(names(8))]


def cross_zone_ratio(stage: Stage, near_us: int, far_us: int) -> float:
    stage.servers(two_zones_of_four())
    near = set(names(8)[:4])
    for _ in range(600):
        request = stage.request()
        stage.wait(near_us if stage.target(request) in near else far_us)
        stage.end(request)
    late = stage.sends()[300:]
    return sum(1 for _, each in late if each.server not in near) / len(late)


def test_the_local_zone_is_preferred_at_similar_latency_where_crossing_zones_is_priced() -> None:
    spared = sum(
        cross_zone_ratio(Stage(settings(prices={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert spared < 5 * 0.3


def test_a_slow_local_zone_loses_its_traffic() -> None:
    assert cross_zone_ratio(Stage(settings(prices={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5
