"""How long after discovery has a change it is applied, whatever the calls before came to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import pytest
from balancer_harness import SECOND_US
from loopback import served, world
from virtual_time import STEP_S, Service, now_s, pass_s, play_in_virtual_time, told_within

NOTIFIED_WITHIN_S = 6.0  # after discovery has it and can be reached, a change counts as notified


# The settings allow far longer; nothing of that counts after a failed call.
RULES = {"max_poll_interval_us": 60 * SECOND_US}
FAULTS = ("503", "reset", "refused", "cut off", "silent")


@pytest.mark.parametrize("change_first", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
def test_change_is_applied_in_time_after_any_fault(
    fault: str, change_first: bool, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        for outage_s in (0.05, 0.4, 1.6, 2.9, 4.6, 13.0):
            there = service()
            async with world(served, service=there, rules=RULES) as w:
                leaving = w.servers[0].entry(status="leaving")
                await pass_s(1.0)
                there.fail(fault)
                await pass_s(outage_s)
                if change_first:
                    await there.change(leaving)
                await there.come_back()
                began = now_s()
                if not change_first:
                    await there.change(leaving)
                await told_within(w, NOTIFIED_WITHIN_S, began)

    play_in_virtual_time(scene())


@pytest.mark.parametrize("after_s", [0.1, 1.0, 2.4, 3.9, 4.2])
def test_change_is_applied_in_time_while_a_watch_is_silent(
    after_s: float, service: Callable[[], Service]
) -> None:
    # The watch alone fell silent: its service has the change, and answers whoever calls anew.
    async def scene() -> None:
        there = service()
        async with world(served, service=there, rules=RULES) as w:
            await pass_s(0.5)
            there.fail("silent")
            await there.come_back()
            await pass_s(after_s)
            began = now_s()
            await there.change(w.servers[0].entry(status="leaving"))
            await told_within(w, NOTIFIED_WITHIN_S, began)

    play_in_virtual_time(scene())


@pytest.mark.parametrize("fault", FAULTS)
def test_change_is_applied_in_time_where_discovery_migrated_while_it_was_down(
    fault: str, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        for outage_s in (0.3, 2.2, 9.0):
            former, latter = service(), service()
            await latter.start()
            async with world(served, service=former, rules=RULES) as w:
                await pass_s(0.5)
                former.fail(fault)
                latter.fail(fault)
                await latter.change(w.servers[0].entry(status="leaving"))
                w.sidecar.migrate_discovery(latter.address)
                await pass_s(outage_s)
                await latter.come_back()
                await told_within(w, NOTIFIED_WITHIN_S, now_s())
            latter.stop()

    play_in_virtual_time(scene())


def test_change_is_applied_four_seconds_after_a_migration_though_the_first_call_falls_silent(
    service: Callable[[], Service],
) -> None:
    async def scene() -> None:
        former, latter = service(), service()
        await latter.start()
        async with world(served, service=former, rules=RULES) as w:
            await pass_s(0.5)
            await latter.change(w.servers[0].entry(status="leaving"))
            latter.fail("silent")
            began = now_s()
            w.sidecar.migrate_discovery(latter.address)
            while not latter.targets:
                await asyncio.sleep(STEP_S)
            await latter.come_back()
            await told_within(w, 4.0, began)
        latter.stop()

    play_in_virtual_time(scene())


def test_watch_makes_no_more_calls_than_needed(service: Callable[[], Service]) -> None:
    # Each call costs a service that answers a whole fleet in turn; shorter waits than this buy nothing.
    async def scene() -> None:
        there = service()
        async with world(served, service=there, rules=RULES):
            await pass_s(60.0)
            assert 15 <= len(there.targets) <= 20
            waits = {int(parse_qs(urlsplit(each).query)["wait_ms"][0]) for each in there.targets}
            assert len(waits) > 5  # instances that were silenced at once do not come back at once

    play_in_virtual_time(scene())
