"""Races of registry changes with reloads, drains, silent watches and requests in flight."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from balancer_harness import SECOND_US
from proxy_harness import (
    FakeServer,
    ProxyHarness,
    encode_response,
    never_respond,
    read_response,
    request,
    reset,
    respond_ok,
    running_proxy,
    send_request,
    wait_until,
)
from virtual_time import STEP_S, RegistryStandIn, advance, assert_notified_within, now_s, run_in_virtual_time

from sidecar.balancer.events import ServerState
from sidecar.proxy import shutdown

NOTIFIED_WITHIN_S = 6.0  # after a watch falls silent, or discovery has a change and is reachable
NOTIFIED_AFTER_RELOAD_WITHIN_S = 4.0  # after SIGHUP, for changes that discovery has at its new address
RULES = {"max_poll_interval_us": 60 * SECOND_US}
MODES = ("on_request", "pushed")  # values of the setting `discovery`


async def assert_removed_within(proxy: ProxyHarness, limit_s: float, started_at: float) -> None:
    """Wait until s-0 is removed from the pool, and fail if that takes longer than the limit."""
    while "s-0" in proxy.sidecar._pool.servers:
        assert now_s() < started_at + limit_s, f"not notified {limit_s} s later"
        await asyncio.sleep(STEP_S)


async def assert_first_server_gets_no_requests(proxy: ProxyHarness) -> None:
    """Check that further requests are served, all by other servers."""
    requests_before = len(proxy.servers[0].requests)
    for number in range(20):
        kind = "pay" if number % 2 else "look"
        body = b"x" if number % 2 else b""
        assert (await proxy.send_request(kind=kind, body=body))[2] == b"served"
        await asyncio.sleep(0.01)
    assert len(proxy.servers[0].requests) == requests_before


def has_received(proxy: ProxyHarness, count: int) -> bool:
    """Return whether the servers have received exactly this many requests."""
    return len(proxy.server_requests()) == count


async def hold_request_at_first_server(
    proxy: ProxyHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return the client connection of a request in flight to s-0, which does not answer yet."""
    first = proxy.servers[0]
    first.script = never_respond
    requests_before = len(first.requests)
    for number in range(200):
        reader, writer = await proxy.connect()
        writer.write(request("pay", body=b"held", budget="500", X_Call_Id=f"held-{number}"))
        await wait_until(partial(has_received, proxy, len(proxy.server_requests()) + 1))
        if len(first.requests) > requests_before:
            return reader, writer
        assert (await read_response(reader))[0] == 200
        writer.close()
    raise AssertionError("no request reached s-0")


# -- A reload and the drain of a server


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("reload_first", [True, False])
def test_drain_is_applied_in_time_when_a_reload_migrates_discovery(
    reload_first: bool, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        old_registry, new_registry = make_registry(), make_registry()
        await new_registry.start()
        async with running_proxy(
            never_respond, respond_ok, registry=old_registry, rules=RULES, discovery=mode
        ) as proxy:
            reader, writer = await hold_request_at_first_server(proxy)
            leaving = proxy.servers[0].entry(status="leaving")
            if not reload_first:
                await new_registry.change(leaving)  # the old registry never has this change
            proxy.sidecar.migrate_discovery(new_registry.address)
            started_at = now_s()
            if reload_first:
                await advance(STEP_S)
                # The complete list is fetched at once.
                assert new_registry.targets[0] == "/registry/instances"
                await new_registry.change(leaving)
            await assert_notified_within(proxy, NOTIFIED_AFTER_RELOAD_WITHIN_S, started_at)
            await assert_first_server_gets_no_requests(proxy)
            proxy.servers[0].writers[-1].write(
                encode_response(200, b"late")
            )  # its request in flight is completed
            assert (await read_response(reader))[2] == b"late"
            writer.close()
        new_registry.stop()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("reload_first", [True, False])
def test_drain_notified_after_sigterm_and_a_reload_keeps_late_requests_from_its_server(
    reload_first: bool, make_registry: Callable[[], RegistryStandIn], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Connections are accepted for as long as the test runs.
    monkeypatch.setattr(shutdown, "_ACCEPT_DURATION_S", 600.0)

    async def scenario() -> None:
        old_registry, new_registry = make_registry(), make_registry()
        await new_registry.start()
        async with running_proxy(never_respond, respond_ok, registry=old_registry, rules=RULES) as proxy:
            reader, writer = await hold_request_at_first_server(proxy)
            steps = [lambda: proxy.sidecar.migrate_discovery(new_registry.address), proxy.stop.set]
            for step in steps if reload_first else reversed(steps):
                step()
                await asyncio.sleep(0.01)
            assert proxy.sidecar.frontend.draining
            await wait_until(lambda: new_registry.targets)
            started_at = now_s()
            await new_registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_AFTER_RELOAD_WITHIN_S, started_at)
            await assert_first_server_gets_no_requests(proxy)
            proxy.servers[0].writers[-1].write(encode_response(200, b"late"))
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"late")
            writer.close()
        new_registry.stop()

    run_in_virtual_time(scenario())


# -- A watch that falls silent late


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("change_after_s", [0.0, 1.0, 2.4, 3.9, 5.0])
@pytest.mark.parametrize("silent_after_s", [0.0, 1.5, 3.1])
def test_change_missed_by_a_watch_that_falls_silent_after_other_events_is_applied_in_time(
    silent_after_s: float, change_after_s: float, mode: str, make_registry: Callable[[], RegistryStandIn]
) -> None:
    async def scenario() -> None:
        registry = make_registry()
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=RULES, discovery=mode
        ) as proxy:
            weight = 1.0
            for _ in range(3):
                await advance(2.0)
                weight += 1.0
                await registry.change(proxy.servers[1].entry(weight=weight))
            calls = len(registry.targets)
            await wait_until(lambda: len(registry.targets) > calls)  # the next call of the watch is pending
            await advance(silent_after_s)
            registry.fail("silent")  # only the pending calls
            await registry.recover()
            started_at = now_s()
            await advance(change_after_s)
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, NOTIFIED_WITHIN_S, started_at)
            await assert_first_server_gets_no_requests(proxy)

    run_in_virtual_time(scenario())


# -- A snapshot without a server that is draining or in use


@pytest.mark.parametrize("is_drained_first", [True, False])
def test_server_missing_from_a_snapshot_gets_no_new_requests_and_completes_those_in_flight(
    is_drained_first: bool,
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok) as proxy:
            first, second = proxy.servers
            # No connection is reused.
            proxy.sidecar._pool._idle_connections.reuse_delay_s = 600.0
            while not first.requests:
                assert (await proxy.send_request())[0] == 200
            reader, writer = await hold_request_at_first_server(proxy)
            registered_servers = proxy.sidecar._balancer._context.registry.servers
            if is_drained_first:
                proxy.discovery.push_update(42, [first.entry(status="leaving")])
                await wait_until(lambda: registered_servers["s-0"].state is ServerState.DRAINING)
                # Its idle connections are closed.
                await wait_until(lambda: first.closed_by_peer == len(first.writers) - 1)
            proxy.discovery.push_update(43, [second.entry()], snapshot=True)
            await assert_removed_within(proxy, NOTIFIED_WITHIN_S, now_s())
            await wait_until(lambda: first.closed_by_peer == len(first.writers) - 1)
            first.script = respond_ok  # it still listens and would respond
            await assert_first_server_gets_no_requests(proxy)
            first.writers[-1].write(encode_response(200, b"late"))
            assert (await read_response(reader))[2] == b"late"
            await wait_until(lambda: not proxy.sidecar._active)
            # No connection to it is kept open.
            await wait_until(lambda: first.closed_by_peer == len(first.writers))
            writer.close()

    run_in_virtual_time(scenario())


def test_request_whose_server_is_missing_from_a_snapshot_and_crashes_is_retried_only_if_safe() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond, never_respond) as proxy:
            safe = asyncio.create_task(proxy.send_request(kind="look", budget="500"))
            unsafe = asyncio.create_task(proxy.send_request(kind="pay", body=b"x", budget="500"))
            await wait_until(lambda: len(proxy.server_requests()) == 2)
            survivor = FakeServer("s-2", respond_ok)
            await survivor.start()
            proxy.discovery.push_update(42, [survivor.entry()], snapshot=True)
            await wait_until(lambda: list(proxy.sidecar._pool.servers) == ["s-2"])
            for each in proxy.servers:
                each.stop()
            assert (await safe)[::2] == (200, b"served")
            assert (await unsafe)[0] == 500
            assert [head["x-call-class"] for _, head, _ in survivor.requests] == ["look"]
            survivor.stop()

    run_in_virtual_time(scenario())


# -- A watch that ends without the change, followed by a snapshot


class WatchEndingRegistry(RegistryStandIn):
    """Ends pending watches at a change without reporting it; later calls get a snapshot at once."""

    ending = "reset"
    entries: list[dict[str, Any]]

    async def change(self, entry: dict[str, Any]) -> None:
        self.version += 1
        self.entries = [each for each in self.entries if each["name"] != entry["name"]]
        for writer in list(self._calls):
            self._calls.discard(writer)
            if self.ending == "reset":
                reset(writer)
            elif self.ending == "503":
                writer.write(encode_response(503, b""))
            elif self.ending == "half an answer":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b'{"index":')
                writer.close()
            else:
                writer.close()

    async def _answer(self, target: str) -> bytes:
        if f"after={self.version}&" in target:
            return await super()._answer(target)
        response = {"index": self.version, "snapshot": True, "endpoints": self.entries}
        return encode_response(200, json.dumps(response, indent=2).encode())


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("ending", ["reset", "503", "half an answer", "end"])
def test_watch_ends_without_the_change_and_the_snapshot_lacks_the_leaving_server(
    ending: str, mode: str
) -> None:
    async def scenario() -> None:
        registry = WatchEndingRegistry()
        registry.ending = ending
        async with running_proxy(
            respond_ok, respond_ok, registry=registry, rules=RULES, discovery=mode
        ) as proxy:
            registry.entries = [each.entry() for each in proxy.servers]
            # One watch has ended after its wait time, and the next is pending.
            await wait_until(partial(registry.has_calls, 2))
            await registry.change(proxy.servers[0].entry(status="leaving"))
            await assert_removed_within(proxy, NOTIFIED_WITHIN_S, now_s())
            await assert_first_server_gets_no_requests(proxy)
            assert (await send_request(proxy.sidecar.frontend.address, request(path="/health/ready")))[
                0
            ] == 200

    run_in_virtual_time(scenario())
