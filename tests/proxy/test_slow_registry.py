"""A registry that responds late to every call, as it is busy with many callers."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from balancer_harness import SECOND_US
from proxy_harness import respond_ok, running_proxy
from virtual_time import RegistryStandIn, advance, assert_notified_within, now_s, run_in_virtual_time

NOTIFIED_WITHIN_S = 6.0  # after discovery has a change and is reachable
NOTIFIED_AFTER_RELOAD_WITHIN_S = 4.0  # after SIGHUP, for changes that discovery has at its new address
RULES = {"max_poll_interval_us": 60 * SECOND_US}
MODES = ("on_request", "pushed")
# Calls fail once they have waited for 3 s where the settings allow the longest wait.
DELAYS_S = (1.9, 2.4, 2.6, 2.8, 3.0)


# Guards against giving up each call shortly before its response (review/8).
@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_change_after_an_outage_is_applied_in_time(
    delay_s: float, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        for fault in ("refused", "reset", "silent"):
            registry = make_registry()
            async with running_proxy(respond_ok, registry=registry, rules=RULES, discovery=mode) as proxy:
                await advance(1.0)
                registry.fail(fault)
                await advance(3.0)
                registry.response_delay_s = delay_s
                await registry.recover()
                await advance(1.0)
                started_at = now_s()
                await registry.change(proxy.servers[0].entry(status="leaving"))
                await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_change_is_applied_in_time_while_the_registry_is_slow(
    delay_s: float, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        for after_s in (0.0, 1.3, 2.7, 4.1, 5.6, 7.2, 9.9):
            registry = make_registry()
            registry.response_delay_s = delay_s
            async with running_proxy(respond_ok, registry=registry, rules=RULES, discovery=mode) as proxy:
                await advance(3.0 + after_s)
                started_at = now_s()
                await registry.change(proxy.servers[0].entry(status="leaving"))
                await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)

    run_in_virtual_time(scenario())


# Guards against the same with the first list from a new address.
@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_list_of_a_new_address_is_applied_in_time(
    delay_s: float, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        old_registry, new_registry = make_registry(), make_registry()
        await new_registry.start()
        new_registry.response_delay_s = delay_s
        async with running_proxy(respond_ok, registry=old_registry, rules=RULES, discovery=mode) as proxy:
            await advance(0.5)
            await new_registry.change(proxy.servers[0].entry(status="leaving"))
            started_at = now_s()
            proxy.sidecar.migrate_discovery(new_registry.address)
            await assert_notified_within(proxy, NOTIFIED_AFTER_RELOAD_WITHIN_S, started_at)
        new_registry.stop()

    run_in_virtual_time(scenario())


def test_slow_registry_gets_few_calls(make_registry: Callable[[], RegistryStandIn]) -> None:
    async def scenario() -> None:
        registry = make_registry()
        registry.response_delay_s = 2.8
        async with running_proxy(respond_ok, registry=registry, rules=RULES):
            await advance(60.0)
            assert len(registry.targets) <= 60.0 / 2.5 + 1
            assert registry.most_concurrent_calls <= 2

    run_in_virtual_time(scenario())
