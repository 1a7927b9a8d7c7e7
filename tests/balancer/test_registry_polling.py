"""Polling of the registry: when it is watched, and when a failed call is retried."""

from __future__ import annotations

import itertools

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US, BalancerHarness, server_names, settings
from ready_balancer import ready_harness

from sidecar.balancer.actions import FetchRegistry, WatchRegistry
from sidecar.balancer.events import RegistryUpdated, RegistryUpdateKind


def test_the_registry_is_watched_from_the_first_event() -> None:
    harness = BalancerHarness()
    harness.update_servers(server_names(2), RegistryUpdateKind.CACHED)
    assert harness.actions_of(WatchRegistry) == [WatchRegistry(True)]


def test_the_registry_is_not_polled_where_it_pushes_changes() -> None:
    harness = BalancerHarness(settings(discovery="pushed"))
    harness.update_servers(server_names(2), RegistryUpdateKind.CACHED)
    harness.advance(60 * SECOND_US)
    assert harness.actions_of(WatchRegistry) == []
    assert harness.actions_of(FetchRegistry) == []


@pytest.mark.parametrize("max_poll_interval_us", [10 * SECOND_US, 600 * SECOND_US])
def test_failed_calls_are_retried_forever_with_bounded_backoff(max_poll_interval_us: int) -> None:
    harness = BalancerHarness(settings(rules={"max_poll_interval_us": max_poll_interval_us}))
    called_at = []
    harness.update_servers(server_names(2), RegistryUpdateKind.CACHED)
    for _ in range(12):
        called_at.append(harness.now)
        count = len(harness.actions_of(WatchRegistry))
        harness.handle(RegistryUpdated(RegistryUpdateKind.FAILED))
        while len(harness.actions_of(WatchRegistry)) == count:
            harness.advance(5 * MILLISECOND_US)
    waits = [later - earlier for earlier, later in itertools.pairwise(called_at)]
    assert max(waits) <= 6 * SECOND_US / 4  # a change must be known within 6 s with any settings
    assert waits[-1] > 2 * waits[0]


def test_an_unanswered_call_is_retried() -> None:
    harness = BalancerHarness()
    harness.update_servers(server_names(2), RegistryUpdateKind.CACHED)
    harness.advance(10 * SECOND_US)
    times = [at for at, each in harness.action_log if isinstance(each, WatchRegistry)]
    assert len(times) > 1
    assert all(later - earlier < 10 * SECOND_US for earlier, later in itertools.pairwise(times))


def test_an_empty_delta_completes_the_call_without_rebuilding_the_registry() -> None:
    harness = ready_harness(3)
    harness.handle(RegistryUpdated(RegistryUpdateKind.FAILED))
    context = harness.balancer._context
    ready = context.registry.ready
    harness.handle(RegistryUpdated(RegistryUpdateKind.DELTA, [], 1))
    assert context.registry.ready is ready  # not rebuilt
    assert harness.balancer._registry_poller.next_poll_at is None
    assert not harness.balancer._registry_poller.consecutive_failures
    # By contrast, an empty snapshot removes all servers.
    harness.handle(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, [], 1))
    assert not context.registry.ready
