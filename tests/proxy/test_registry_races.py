"""Changes of the registry that cross reloads, drains, silences and requests under way."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from balancer_harness import SECOND_US
from loopback import FakeServer, World, answer, ask, hung, read_answer, request, reset, served, until, world
from virtual_time import STEP_S, RegistryStandIn, advance, assert_notified_within, now_s, run_in_virtual_time

from sidecar.balancer.events import ServerState
from sidecar.proxy import shutdown

NOTIFIED_WITHIN_S = 6.0  # after a watch fell silent, or discovery has a change and can be reached
RELOADED_S = 4.0  # after SIGHUP, what discovery's new place has counts as notified
RULES = {"max_poll_interval_us": 60 * SECOND_US}
MODES = ("on_request", "pushed")  # how discovery tells, by the settings


async def gone_within(w: World, limit_s: float, began: float) -> None:
    """Wait until connections to s-0 are no use any more, which has to be in time."""
    while "s-0" in w.sidecar._pool.servers:
        assert now_s() < began + limit_s, f"not notified {limit_s} s later"
        await asyncio.sleep(STEP_S)


async def nothing_more_reaches_the_first(w: World) -> None:
    """All that is asked from now on is served, by the others."""
    seen = len(w.servers[0].requests)
    for number in range(20):
        kind = "pay" if number % 2 else "look"
        body = b"x" if number % 2 else b""
        assert (await w.ask(kind=kind, body=body))[2] == b"served"
        await asyncio.sleep(0.01)
    assert len(w.servers[0].requests) == seen


def has_sent(w: World, count: int) -> bool:
    """Whether so many requests have come to servers."""
    return len(w.sent()) == count


async def hold_at_first(w: World) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A request that is out at s-0, which does not answer yet."""
    first = w.servers[0]
    first.script = hung
    before = len(first.requests)
    for number in range(200):
        reader, writer = await w.connect()
        writer.write(request("pay", body=b"held", budget="500", X_Call_Id=f"held-{number}"))
        await until(partial(has_sent, w, len(w.sent()) + 1))
        if len(first.requests) > before:
            return reader, writer
        assert (await read_answer(reader))[0] == 200
        writer.close()
    raise AssertionError("no request came to s-0")


# -- A reload x a drain


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("reload_first", [True, False])
def test_drain_is_applied_in_time_where_a_reload_migrates_discovery(
    reload_first: bool, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scene() -> None:
        former, latter = make_registry(), make_registry()
        await latter.start()
        async with world(hung, served, registry=former, rules=RULES, discovery=mode) as w:
            reader, writer = await hold_at_first(w)
            leaving = w.servers[0].entry(status="leaving")
            if not reload_first:
                await latter.change(leaving)  # and the former place never hears of it
            w.sidecar.migrate_discovery(latter.address)
            began = now_s()
            if reload_first:
                await advance(STEP_S)
                assert latter.targets[0] == "/registry/instances"  # asked at once, for the complete list
                await latter.change(leaving)
            await assert_notified_within(w, RELOADED_S, began)
            await nothing_more_reaches_the_first(w)
            w.servers[0].writers[-1].write(answer(200, b"late"))  # what it has, it finishes
            assert (await read_answer(reader))[2] == b"late"
            writer.close()
        latter.stop()

    run_in_virtual_time(scene())


@pytest.mark.parametrize("reload_first", [True, False])
def test_drain_notified_after_sigterm_and_a_reload_keeps_late_requests_from_its_server(
    reload_first: bool, make_registry: Callable[[], RegistryStandIn], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "_ACCEPT_S", 600.0)  # connections are taken for as long as the test needs

    async def scene() -> None:
        former, latter = make_registry(), make_registry()
        await latter.start()
        async with world(hung, served, registry=former, rules=RULES) as w:
            reader, writer = await hold_at_first(w)
            steps = [lambda: w.sidecar.migrate_discovery(latter.address), w.stop.set]
            for step in steps if reload_first else reversed(steps):
                step()
                await asyncio.sleep(0.01)
            assert w.sidecar.frontend.draining
            await until(lambda: latter.targets)
            began = now_s()
            await latter.change(w.servers[0].entry(status="leaving"))
            await assert_notified_within(w, RELOADED_S, began)
            await nothing_more_reaches_the_first(w)
            w.servers[0].writers[-1].write(answer(200, b"late"))
            status, headers, body = await read_answer(reader)
            assert (status, headers["connection"], body) == (200, "close", b"late")
            writer.close()
        latter.stop()

    run_in_virtual_time(scene())


# -- A silence that begins late


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("missed_after_s", [0.0, 1.0, 2.4, 3.9, 5.0])
@pytest.mark.parametrize("open_for_s", [0.0, 1.5, 3.1])
def test_change_missed_by_a_watch_that_falls_silent_after_other_events_is_applied_in_time(
    open_for_s: float, missed_after_s: float, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scene() -> None:
        registry = make_registry()
        async with world(served, served, registry=registry, rules=RULES, discovery=mode) as w:
            weight = 1.0
            for _ in range(3):
                await advance(2.0)
                weight += 1.0
                await registry.change(w.servers[1].entry(weight=weight))
            calls = len(registry.targets)
            await until(lambda: len(registry.targets) > calls)  # the next watch is out
            await advance(open_for_s)
            registry.fail("silent")  # for the calls that are out, and no others
            await registry.recover()
            began = now_s()
            await advance(missed_after_s)
            await registry.change(w.servers[0].entry(status="leaving"))
            await assert_notified_within(w, NOTIFIED_WITHIN_S, began)
            await nothing_more_reaches_the_first(w)

    run_in_virtual_time(scene())


# -- A complete list that leaves out what drains, or what is in use


@pytest.mark.parametrize("drained_first", [True, False])
def test_server_missing_from_a_snapshot_gets_no_new_requests_and_completes_those_in_flight(
    drained_first: bool,
) -> None:
    async def scene() -> None:
        async with world(served, served) as w:
            first, second = w.servers
            w.sidecar._pool._idle_connections.reuse_delay_s = (
                600.0  # what is kept from one request is not taken by the next
            )
            while not first.requests:
                assert (await w.ask())[0] == 200
            reader, writer = await hold_at_first(w)
            states = w.sidecar._balancer._context.registry.servers
            if drained_first:
                w.discovery.say(42, [first.entry(status="leaving")])
                await until(lambda: states["s-0"].state is ServerState.DRAINING)
                await until(lambda: first.closed == len(first.writers) - 1)  # none at rest is kept
            w.discovery.say(43, [second.entry()], snapshot=True)
            await gone_within(w, NOTIFIED_WITHIN_S, now_s())
            await until(lambda: first.closed == len(first.writers) - 1)
            first.script = served  # it still listens, and would answer
            await nothing_more_reaches_the_first(w)
            first.writers[-1].write(answer(200, b"late"))
            assert (await read_answer(reader))[2] == b"late"
            await until(lambda: not w.sidecar._active)
            await until(lambda: first.closed == len(first.writers))  # no connection to it is kept
            writer.close()

    run_in_virtual_time(scene())


def test_request_whose_server_is_missing_from_a_snapshot_and_dies_is_retried_only_if_safe() -> None:
    async def scene() -> None:
        async with world(hung, hung) as w:
            safe = asyncio.create_task(w.ask(kind="look", budget="500"))
            unsafe = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="500"))
            await until(lambda: len(w.sent()) == 2)
            survivor = FakeServer("s-2", served)
            await survivor.start()
            w.discovery.say(42, [survivor.entry()], snapshot=True)
            await until(lambda: list(w.sidecar._pool.servers) == ["s-2"])
            for each in w.servers:
                each.stop()
            assert (await safe)[::2] == (200, b"served")
            assert (await unsafe)[0] == 500
            assert [head["x-call-class"] for _, head, _ in survivor.requests] == ["look"]
            survivor.stop()

    run_in_virtual_time(scene())


# -- A watch that ends without its event x a first response that is the complete list


class WatchEndingRegistry(RegistryStandIn):
    """Ends the watches that are out as something changes; calls anew get the complete list at once."""

    how = "reset"
    listed: list[dict[str, Any]]

    async def change(self, entry: dict[str, Any]) -> None:
        self.version += 1
        self.listed = [each for each in self.listed if each["name"] != entry["name"]]
        for writer in list(self._calls):
            self._calls.discard(writer)
            if self.how == "reset":
                reset(writer)
            elif self.how == "503":
                writer.write(answer(503, b""))
            elif self.how == "half an answer":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b'{"index":')
                writer.close()
            else:
                writer.close()

    async def _answer(self, target: str) -> bytes:
        if f"after={self.version}&" in target:
            return await super()._answer(target)
        response = {"index": self.version, "snapshot": True, "endpoints": self.listed}
        return answer(200, json.dumps(response, indent=2).encode())


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("how", ["reset", "503", "half an answer", "end"])
def test_watch_ends_without_its_event_and_the_snapshot_lacks_what_drains(how: str, mode: str) -> None:
    async def scene() -> None:
        registry = WatchEndingRegistry()
        registry.how = how
        async with world(served, served, registry=registry, rules=RULES, discovery=mode) as w:
            registry.listed = [each.entry() for each in w.servers]
            await until(partial(registry.called, 2))  # a watch has ended by its time, and the next is out
            await registry.change(w.servers[0].entry(status="leaving"))
            await gone_within(w, NOTIFIED_WITHIN_S, now_s())
            await nothing_more_reaches_the_first(w)
            assert (await ask(w.sidecar.frontend.address, request(path="/health/ready")))[0] == 200

    run_in_virtual_time(scene())
