"""Faults after a long quiet period, and outages of discovery that last for minutes."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US
from proxy_harness import respond_ok, running_proxy
from virtual_time import RegistryStandIn, advance, assert_notified_within, now_s, run_in_virtual_time

from sidecar.proxy import connection_table, loop_lag

NOTIFIED_WITHIN_S = 6.0  # after a watch falls silent, or discovery has a change and is reachable
NOTIFIED_AFTER_RELOAD_WITHIN_S = 4.0  # after SIGHUP, for changes that discovery has at its new address
QUIET_S = 600.0
OUTAGE_S = 300.0
FAULTS = ("503", "reset", "refused", "silent", "partitioned")
TICK_US = 100 * MILLISECOND_US  # longer than usual: the virtual clock stops at fewer timers
RULES = [{"max_poll_interval_us": 2 * SECOND_US}, {"max_poll_interval_us": 60 * SECOND_US}]


@pytest.fixture(autouse=True)
def _run_fewer_timers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sweep connections and check the lag less often, as these tests advance through long spans of time."""
    monkeypatch.setattr(connection_table, "_SWEEP_INTERVAL_S", 1.0)
    monkeypatch.setattr(loop_lag, "_CHECK_INTERVAL_S", 1.0)


@pytest.mark.parametrize(
    ("fault", "rules", "mode"),
    [
        (None, RULES[1], "on_request"),
        ("silent", RULES[1], "on_request"),
        ("reset", RULES[0], "on_request"),
        ("silent", RULES[1], "pushed"),
    ],
)
def test_change_after_ten_quiet_minutes_is_applied_in_time(
    fault: str | None, rules: dict[str, int], mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        registry = make_registry()
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=rules, discovery=mode, tick_us=TICK_US
        ) as proxy:
            await advance(QUIET_S)
            assert len(registry.targets) > QUIET_S / 5.0  # the watch went on polling
            started_at = now_s()
            if fault is not None:
                registry.fail(fault)
                if fault != "silent":  # a silent watch counts from the start of its silence
                    await advance(2.0)
                    started_at = now_s()
                await registry.recover()
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)
            assert (await proxy.send_request())[2] == b"served"

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ("fault", "rules", "mode"),
    [
        *((fault, RULES[1], "on_request") for fault in FAULTS),
        ("refused", RULES[0], "on_request"),
        ("refused", RULES[1], "pushed"),
        ("silent", RULES[1], "pushed"),
    ],
)
def test_change_after_an_outage_of_five_minutes_is_applied_in_time(
    fault: str, rules: dict[str, int], mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        registry = make_registry()
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=rules, discovery=mode, tick_us=TICK_US
        ) as proxy:
            registry.fail(fault)
            await advance(OUTAGE_S)
            assert (await proxy.send_request())[2] == b"served"  # with the cached endpoint list
            await registry.recover()
            started_at = now_s()
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)
            assert (await proxy.send_request())[2] == b"served"

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(("fault", "mode"), [("refused", "on_request"), ("partitioned", "pushed")])
def test_reload_in_an_outage_of_five_minutes_is_applied_at_once(
    fault: str, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        old_registry, new_registry = make_registry(), make_registry()
        await new_registry.start()
        async with running_proxy(
            respond_ok, respond_ok, registry=old_registry, rules=RULES[1], discovery=mode, tick_us=TICK_US
        ) as proxy:
            old_registry.fail(fault)
            await advance(OUTAGE_S)
            started_at = now_s()
            proxy.sidecar.migrate_discovery(new_registry.address)
            await new_registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_AFTER_RELOAD_WITHIN_S, started_at)
        new_registry.stop()

    run_in_virtual_time(scenario())
