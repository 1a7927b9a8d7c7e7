"""Weighted random sampling of servers."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from policy_context import make_context

from sidecar.balancer.policy.weighted_sampling import sample_by_weight


def test_a_sample_has_no_duplicates_and_at_most_all_servers() -> None:
    servers = make_context(servers=5).registry.ready
    rng = random.Random(1)
    for count in range(8):
        sample = sample_by_weight(rng, servers, [1.0, 2.0, 3.0, 4.0, 5.0], count)
        assert len(sample) == len({server.name for server in sample}) == min(count, 5)


def test_servers_are_sampled_in_proportion_to_their_weights() -> None:
    servers = make_context(servers=3).registry.ready
    rng = random.Random(1)
    weights = [1.0, 2.0, 5.0]
    first = Counter(sample_by_weight(rng, servers, weights, 1)[0].name for _ in range(8_000))
    for server, weight in zip(servers, weights, strict=True):
        assert first[server.name] == pytest.approx(1_000 * weight, rel=0.1)


def test_a_server_of_weight_zero_is_sampled_last() -> None:
    servers = make_context(servers=3).registry.ready
    rng = random.Random(1)
    for _ in range(100):
        assert sample_by_weight(rng, servers, [0.0, 1.0, 1.0], 3)[-1] is servers[0]
