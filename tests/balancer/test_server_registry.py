"""The local copy of the registry: its order, and the cost of a change."""

from __future__ import annotations

import random
from unittest.mock import patch

from sidecar.balancer.events import Endpoint, RegistryUpdated, RegistryUpdateKind, ServerState
from sidecar.balancer.state import Server
from sidecar.balancer.state.registry import ServerRegistry


def server_name(number: int) -> str:
    return f"10.2.{number // 250}.{number % 250}:80"


def test_ready_servers_stay_sorted_by_rank_through_all_changes() -> None:
    rng = random.Random(5)
    registry = ServerRegistry(random.Random(6))
    for _ in range(400):
        kind = rng.choice([*[RegistryUpdateKind.DELTA] * 9, RegistryUpdateKind.SNAPSHOT])
        endpoints = [
            Endpoint(server_name(rng.randrange(60)), state=rng.choice(list(ServerState)))
            for _ in range(rng.randrange(1, 30))
        ]
        registry.apply(RegistryUpdated(kind, endpoints))
        expected = [each for each in registry.servers.values() if each.state is ServerState.READY]
        assert registry.ready == sorted(expected, key=lambda each: each.rank)
        for server in registry.removed():
            if rng.random() < 0.5:
                registry.forget(server)


def test_a_change_of_known_servers_does_not_sort_the_list_again() -> None:
    registry = ServerRegistry(random.Random(6))
    endpoints = [Endpoint(server_name(number)) for number in range(3_200)]
    registry.apply(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, endpoints))
    ranks_read = 0
    rank = vars(Server)["rank"]  # the descriptor of the slot

    def counting(server: Server) -> float:
        nonlocal ranks_read
        ranks_read += 1
        return float(rank.__get__(server))

    with patch.object(Server, "rank", property(counting)):
        for number in range(50):
            draining = Endpoint(server_name(number), state=ServerState.DRAINING)
            registry.apply(RegistryUpdated(RegistryUpdateKind.DELTA, [draining]))
        registry.apply(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, endpoints[50:]))
    assert len(registry.ready) == 3_150
    assert ranks_read == 0
