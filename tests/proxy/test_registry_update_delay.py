"""How soon a change is applied once discovery has it, whatever the results of the previous calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import pytest
from balancer_harness import SECOND_US
from proxy_harness import respond_ok, running_proxy
from virtual_time import STEP_S, RegistryStandIn, advance, assert_notified_within, now_s, run_in_virtual_time

NOTIFIED_WITHIN_S = 6.0  # after discovery has a change and is reachable


# The settings allow far longer intervals between calls; after a failed call these do not apply.
RULES = {"max_poll_interval_us": 60 * SECOND_US}
FAULTS = ("503", "reset", "refused", "partitioned", "silent")


@pytest.mark.parametrize("change_first", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
def test_change_is_applied_in_time_after_any_fault(
    fault: str, change_first: bool, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        for outage_s in (0.05, 0.4, 1.6, 2.9, 4.6, 13.0):
            registry = make_registry()
            async with running_proxy(respond_ok, registry=registry, rules=RULES) as proxy:
                leaving = proxy.servers[0].entry(status="leaving")
                await advance(1.0)
                registry.fail(fault)
                await advance(outage_s)
                if change_first:
                    await registry.change(leaving)
                await registry.recover()
                started_at = now_s()
                if not change_first:
                    await registry.change(leaving)
                await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("after_s", [0.1, 1.0, 2.4, 3.9, 4.2])
def test_change_is_applied_in_time_while_a_watch_is_silent(
    after_s: float, make_registry: Callable[[], RegistryStandIn]
) -> None:
    # Only the pending call of the watch is silent: the registry has the change, and answers new calls.
    async def scenario() -> None:
        registry = make_registry()
        async with running_proxy(respond_ok, registry=registry, rules=RULES) as proxy:
            await advance(0.5)
            registry.fail("silent")
            await registry.recover()
            await advance(after_s)
            started_at = now_s()
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("fault", FAULTS)
def test_change_is_applied_in_time_where_discovery_migrated_while_it_was_down(
    fault: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        for outage_s in (0.3, 2.2, 9.0):
            old_registry, new_registry = make_registry(), make_registry()
            await new_registry.start()
            async with running_proxy(respond_ok, registry=old_registry, rules=RULES) as proxy:
                await advance(0.5)
                old_registry.fail(fault)
                new_registry.fail(fault)
                await new_registry.change(proxy.servers[0].entry(status="leaving"))
                proxy.sidecar.migrate_discovery(new_registry.address)
                await advance(outage_s)
                await new_registry.recover()
                await assert_notified_within(proxy, NOTIFIED_WITHIN_S, now_s())
            new_registry.stop()

    run_in_virtual_time(scenario())


def test_change_is_applied_four_seconds_after_a_migration_though_the_first_call_falls_silent(
    make_registry: Callable[[], RegistryStandIn],
) -> None:
    async def scenario() -> None:
        old_registry, new_registry = make_registry(), make_registry()
        await new_registry.start()
        async with running_proxy(respond_ok, registry=old_registry, rules=RULES) as proxy:
            await advance(0.5)
            await new_registry.change(proxy.servers[0].entry(status="leaving"))
            new_registry.fail("silent")
            started_at = now_s()
            proxy.sidecar.migrate_discovery(new_registry.address)
            while not new_registry.targets:
                await asyncio.sleep(STEP_S)
            await new_registry.recover()
            await assert_notified_within(proxy, 4.0, started_at)
        new_registry.stop()

    run_in_virtual_time(scenario())


def test_watch_makes_no_more_calls_than_needed(make_registry: Callable[[], RegistryStandIn]) -> None:
    # Each call is a cost for a registry that serves a whole fleet; shorter waits would bring no benefit.
    async def scenario() -> None:
        registry = make_registry()
        async with running_proxy(respond_ok, registry=registry, rules=RULES):
            await advance(60.0)
            assert 15 <= len(registry.targets) <= 20
            waits_ms = {int(parse_qs(urlsplit(each).query)["wait_ms"][0]) for each in registry.targets}
            assert len(waits_ms) > 5  # sidecars whose watches fail together do not all call again together

    run_in_virtual_time(scenario())
