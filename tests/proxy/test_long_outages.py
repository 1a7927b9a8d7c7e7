"""Trouble that begins after a long quiet time, and outages of discovery that last for minutes."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from balancer_harness import MILLISECOND_US, SECOND_US
from loopback import served, world
from virtual_time import Service, now_s, pass_s, play_in_virtual_time, told_within

from sidecar.proxy import connection_table, loop_lag

NOTIFIED_WITHIN_S = 6.0  # after a watch fell silent, or discovery has a change and can be reached
RELOADED_S = 4.0  # after SIGHUP, what discovery's new place has counts as notified
QUIET_S = 600.0
OUTAGE_S = 300.0
FAULTS = ("503", "reset", "refused", "silent", "cut off")
TICK_US = 100 * MILLISECOND_US  # the clock has fewer moments to pass through
RULES = [{"max_poll_interval_us": 2 * SECOND_US}, {"max_poll_interval_us": 60 * SECOND_US}]


@pytest.fixture(autouse=True)
def _few_moments(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the driver look at connections and at its lag less often, as long spans are passed through."""
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
    fault: str | None, rules: dict[str, int], mode: str, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        there = service()
        async with world(served, served, service=there, rules=rules, discovery=mode, tick_us=TICK_US) as w:
            await pass_s(QUIET_S)
            assert len(there.targets) > QUIET_S / 5.0  # the watch has gone on
            began = now_s()
            if fault is not None:
                there.fail(fault)
                if fault != "silent":  # the silence of a watch counts from its begin
                    await pass_s(2.0)
                    began = now_s()
                await there.come_back()
            await there.change(w.servers[0].entry(status="leaving"))
            await told_within(w, NOTIFIED_WITHIN_S, began)
            assert (await w.ask())[2] == b"served"

    play_in_virtual_time(scene())


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
    fault: str, rules: dict[str, int], mode: str, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        there = service()
        async with world(served, served, service=there, rules=rules, discovery=mode, tick_us=TICK_US) as w:
            there.fail(fault)
            await pass_s(OUTAGE_S)
            assert (await w.ask())[2] == b"served"  # by the list that it has
            await there.come_back()
            began = now_s()
            await there.change(w.servers[0].entry(status="leaving"))
            await told_within(w, NOTIFIED_WITHIN_S, began)
            assert (await w.ask())[2] == b"served"

    play_in_virtual_time(scene())


@pytest.mark.parametrize(("fault", "mode"), [("refused", "on_request"), ("cut off", "pushed")])
def test_reload_in_an_outage_of_five_minutes_is_applied_at_once(
    fault: str, mode: str, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        former, latter = service(), service()
        await latter.start()
        async with world(
            served, served, service=former, rules=RULES[1], discovery=mode, tick_us=TICK_US
        ) as w:
            former.fail(fault)
            await pass_s(OUTAGE_S)
            began = now_s()
            w.sidecar.migrate_discovery(latter.address)
            await latter.change(w.servers[0].entry(status="leaving"))
            await told_within(w, RELOADED_S, began)
        latter.stop()

    play_in_virtual_time(scene())
