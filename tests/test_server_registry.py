"""The copy of the registry: its order, and what a change costs."""

from __future__ import annotations

import random
from unittest.mock import patch

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.state import Server
from sidecar.balancer.state.registry import ServerRegistry


def name(number: int) -> str:
    return f"10.2.{number // 250}.{number % 250}:80"


def test_ready_servers_stay_in_order_of_rank_through_all_changes() -> None:
    chance = random.Random(5)
    registry = ServerRegistry(random.Random(6))
    for _ in range(400):
        kind = chance.choice([*[RegistryUpdateKind.DELTA] * 9, RegistryUpdateKind.SNAPSHOT])
        endpoints = [
            Endpoint(name(chance.randrange(60)), state=chance.choice(list(ServerState)))
            for _ in range(chance.randrange(1, 30))
        ]
        registry.apply(RegistryUpdated(kind, endpoints))
        expected = [each for each in registry.servers.values() if each.state is ServerState.READY]
        assert registry.ready == sorted(expected, key=lambda each: each.rank)
        for server in registry.removed():
            if chance.random() < 0.5:
                registry.forget(server)


def test_a_change_of_known_servers_does_not_sort_the_list_anew() -> None:
    registry = ServerRegistry(random.Random(6))
    listed = [Endpoint(name(number)) for number in range(3_200)]
    registry.apply(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, listed))
    ranks_read = 0
    rank = vars(Server)["rank"]  # a slot

    def counted(server: Server) -> float:
        nonlocal ranks_read
        ranks_read += 1
        return float(rank.__get__(server))

    with patch.object(Server, "rank", property(counted)):
        for number in range(50):
            drained = Endpoint(name(number), state=ServerState.DRAINING)
            registry.apply(RegistryUpdated(RegistryUpdateKind.DELTA, [drained]))
        registry.apply(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, listed[50:]))
    assert len(registry.ready) == 3_150
    assert ranks_read == 0
