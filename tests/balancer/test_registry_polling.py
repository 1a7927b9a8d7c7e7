"""Registry refresh: when the registry is watched, and when a call is retried."""

from __future__ import annotations

import itertools

import pytest
from balancer_stage import ready_stage
from helpers import MS as MILLISECOND_US
from helpers import S as SECOND_US
from helpers import Stage, names, settings

from sidecar.balancer.actions import FetchRegistry, WatchRegistry
from sidecar.balancer.events import RegistryUpdated, RegistryUpdateKind


def test_the_registry_is_watched_from_the_first_event() -> None:
    stage = Stage()
    stage.servers(names(2), RegistryUpdateKind.CACHED)
    assert stage.said(WatchRegistry) == [WatchRegistry(True)]


def test_the_registry_is_not_polled_where_it_pushes_changes() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(2), RegistryUpdateKind.CACHED)
    stage.wait(60 * SECOND_US)
    assert stage.said(WatchRegistry) == []
    assert stage.said(FetchRegistry) == []


@pytest.mark.parametrize("max_poll_interval_us", [10 * SECOND_US, 600 * SECOND_US])
def test_failed_calls_are_retried_forever_with_bounded_backoff(max_poll_interval_us: int) -> None:
    stage = Stage(settings(rules={"max_poll_interval_us": max_poll_interval_us}))
    called_at = []
    stage.servers(names(2), RegistryUpdateKind.CACHED)
    for _ in range(12):
        called_at.append(stage.now)
        count = len(stage.said(WatchRegistry))
        stage.play(RegistryUpdated(RegistryUpdateKind.FAILED))
        while len(stage.said(WatchRegistry)) == count:
            stage.wait(5 * MILLISECOND_US)
    waits = [later - earlier for earlier, later in itertools.pairwise(called_at)]
    assert max(waits) <= 6 * SECOND_US / 4  # a change has to be known within 6 s, whatever is configured
    assert waits[-1] > 2 * waits[0]


def test_an_unanswered_call_is_retried() -> None:
    stage = Stage()
    stage.servers(names(2), RegistryUpdateKind.CACHED)
    stage.wait(10 * SECOND_US)
    times = [at for at, each in stage.log if isinstance(each, WatchRegistry)]
    assert len(times) > 1
    assert all(later - earlier < 10 * SECOND_US for earlier, later in itertools.pairwise(times))


def test_an_empty_delta_completes_the_call_without_rebuilding_the_registry() -> None:
    stage = ready_stage(3)
    stage.play(RegistryUpdated(RegistryUpdateKind.FAILED))
    context = stage.balancer._context
    ready = context.registry.ready
    stage.play(RegistryUpdated(RegistryUpdateKind.DELTA, [], 1))
    assert context.registry.ready is ready  # not rebuilt
    assert stage.balancer._registry_poller.due is None
    assert not stage.balancer._registry_poller.failed_polls
    stage.play(RegistryUpdated(RegistryUpdateKind.SNAPSHOT, [], 1))  # an empty snapshot removes all servers
    assert not context.registry.ready
