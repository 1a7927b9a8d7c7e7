"""Reloads of a serving sidecar: effects on requests, discovery and connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from typing import Any

import pytest
from proxy_harness import (
    CLASSES,
    LIMITS,
    FakeDiscovery,
    ProxyHarness,
    encode_response,
    never_respond,
    run_scenario,
    running_proxy,
    wait_until,
)
from reload_support import ADDED_CLASS, OTHER_SETTINGS, make_settings, reader_of

from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, SettingsChanged
from sidecar.reload import Applied, Rejected, Reloader, ReloadResult, Unchanged

CLASS_AND_TENANT_COUNT = 1_024
RELOAD_LIMIT_S = 5.0  # many times the usual duration, as tests share a machine


class ReloadHarness:
    """A running sidecar, with clients, servers and discovery, whose configuration can be reloaded."""

    def __init__(self, proxy: ProxyHarness) -> None:
        self.proxy = proxy
        self._reloader = Reloader(proxy.config, proxy.sidecar.reconfigure)

    def reload(self, **changes: Any) -> ReloadResult:
        return self._reloader.reload(reader_of(replace(self._reloader.active, **changes)))

    def send(self, kind: str) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
        return asyncio.ensure_future(self.proxy.send_request(kind=kind))

    async def status(self, kind: str) -> int:
        method = "POST" if kind in ("pay", "amend") else "GET"
        return (await self.proxy.send_request(kind=kind, method=method))[0]


@contextlib.asynccontextmanager
async def reload_harness(
    script: Callable[..., bytes | None] = lambda *_: encode_response(), **changes: Any
) -> AsyncIterator[ReloadHarness]:
    async with running_proxy(script, **changes) as proxy:
        yield ReloadHarness(proxy)


@pytest.mark.parametrize("kind", ["look", "pay", "amend"])
def test_a_request_in_flight_keeps_its_class_when_the_class_is_removed(kind: str) -> None:
    async def scenario() -> None:
        async with reload_harness(never_respond) as harness:
            [server] = harness.proxy.servers
            pending = harness.send(kind)
            await wait_until(lambda: server.requests)
            assert isinstance(harness.reload(settings=make_settings(classes=[ADDED_CLASS])), Applied)
            assert await harness.status(kind) == 400
            server.writers[0].write(encode_response(200, b"served"))
            assert (await pending)[::2] == (200, b"served")
            # A request that must run once only is rejected if its id is repeated. Whether it must is decided
            # by the class that it arrived with, although that class is removed.
            repeated_request = {"kind": "added", "method": "GET", "X_Call_Id": f"{1:016x}", "budget": "0.001"}
            status = (await harness.proxy.send_request(**repeated_request))[0]
            assert (status == 409) == (kind != "look")
            assert not harness.proxy.sidecar._active

    run_scenario(scenario())


def test_an_added_class_is_accepted_and_the_last_of_two_reloads_takes_effect() -> None:
    async def scenario() -> None:
        async with reload_harness() as harness:
            assert await harness.status("added") == 400
            harness.reload(settings=make_settings(classes=[*CLASSES, ADDED_CLASS]))
            harness.reload(settings=make_settings(classes=[*CLASSES, ADDED_CLASS | {"name": "last"}]))
            assert [await harness.status(kind) for kind in ("look", "added", "last")] == [200, 400, 200]

    run_scenario(scenario())


def test_new_tenants_and_deadlines_apply_to_later_requests() -> None:
    async def scenario() -> None:
        async with reload_harness() as harness:
            shorter = [each | {"deadline_us": 4_000_000} for each in CLASSES]
            harness.reload(settings=make_settings(classes=shorter, tenants=[{"name": "acme"}]))
            assert (await harness.proxy.send_request(budget="5.0"))[0] == 400
            assert (await harness.proxy.send_request(budget="4.0", X_Caller="other"))[0] == 400
            assert (await harness.proxy.send_request(budget="4.0", X_Caller="acme"))[0] == 200

    run_scenario(scenario())


def test_settings_take_effect_while_discovery_is_down() -> None:
    async def scenario() -> None:
        async with reload_harness() as harness:
            harness.proxy.discovery.responses.put_nowait(encode_response(503))
            await wait_until(lambda: harness.proxy.discovery.has_calls(1))
            harness.proxy.discovery.stop()
            assert isinstance(harness.reload(settings=OTHER_SETTINGS), Applied)
            assert await harness.status("added") == 200

    run_scenario(scenario())


@pytest.mark.parametrize("changes", [{}, {"settings": OTHER_SETTINGS}, {"version": 9}])
def test_the_watch_continues_while_the_address_of_discovery_is_the_same(changes: dict[str, Any]) -> None:
    # With a new watch, thousands of sidecars would fetch their whole lists at each change of any setting.
    async def scenario() -> None:
        async with reload_harness() as harness:
            discovery, sidecar = harness.proxy.discovery, harness.proxy.sidecar
            await wait_until(lambda: discovery.has_calls(1))
            watch = sidecar._endpoint_list.client._watch
            assert isinstance(harness.reload(**changes), Applied if changes else Unchanged)
            assert sidecar._endpoint_list.client._watch is watch
            # The watch that was open before the reload receives a change made after it.
            discovery.push_update(42, [harness.proxy.servers[0].entry(status="leaving")])
            await wait_until(lambda: discovery.has_calls(2))
            assert discovery.targets[1].startswith("/registry/instances?after=42&")
            assert await harness.status("look") == 503
            assert not harness.proxy.servers[0].requests

    run_scenario(scenario())


def test_settings_and_a_new_address_of_discovery_take_effect_together() -> None:
    async def scenario() -> None:
        new_discovery = FakeDiscovery()
        await new_discovery.start()
        async with reload_harness() as harness:
            await wait_until(lambda: harness.proxy.discovery.has_calls(1))
            harness.reload(settings=OTHER_SETTINGS, discovery=new_discovery.address)
            await wait_until(lambda: new_discovery.has_calls(1))
            assert new_discovery.targets == ["/registry/instances"]
            assert await harness.status("added") == 200
            assert len(harness.proxy.discovery.targets) == 1
        new_discovery.stop()

    run_scenario(scenario())


@pytest.mark.parametrize(("old_mode", "new_mode"), [("on_request", "pushed"), ("pushed", "on_request")])
def test_the_watch_continues_when_the_mode_of_discovery_changes(old_mode: str, new_mode: str) -> None:
    async def scenario() -> None:
        async with reload_harness(discovery=old_mode) as harness:
            discovery = harness.proxy.discovery
            await wait_until(lambda: discovery.has_calls(1))
            assert isinstance(harness.reload(settings=make_settings(discovery=new_mode)), Applied)
            discovery.responses.put_nowait(encode_response(503))
            await wait_until(lambda: discovery.has_calls(2))  # both modes retry a failed call
            discovery.push_update(42, [harness.proxy.servers[0].entry(status="leaving")])
            await wait_until(lambda: discovery.has_calls(3))
            assert await harness.status("look") == 503

    run_scenario(scenario())


def test_a_reload_during_graceful_shutdown_does_not_interrupt_it() -> None:
    async def scenario() -> None:
        async with reload_harness(never_respond) as harness:
            [server], sidecar = harness.proxy.servers, harness.proxy.sidecar
            pending = harness.send("pay")
            await wait_until(lambda: server.requests)
            harness.proxy.stop.set()
            await wait_until(lambda: sidecar.frontend.draining)
            short_deadline = ADDED_CLASS | {"deadline_us": 1, "latency_target_us": 1}
            assert isinstance(harness.reload(settings=make_settings(classes=[short_deadline])), Applied)
            server.writers[0].write(encode_response(200, b"served"))
            assert (await pending)[::2] == (200, b"served")
            await wait_until(sidecar.frontend.has_no_connections)

    run_scenario(scenario())


def test_a_new_idle_timeout_counts_from_when_the_connection_became_idle() -> None:
    async def scenario() -> None:
        async with reload_harness(limits=LIMITS | {"idle_close_us": 600_000_000}) as harness:
            [server] = harness.proxy.servers
            assert await harness.status("look") == 200
            [idle] = harness.proxy.sidecar._pool.servers[server.name].idle_connections
            idle_since = idle.close_timer.when() - 0.9 * 600.0
            harness.reload(settings=make_settings(limits=LIMITS | {"idle_close_us": 400_000_000}))
            [idle] = harness.proxy.sidecar._pool.servers[server.name].idle_connections
            assert idle.close_timer.when() == pytest.approx(idle_since + 0.9 * 400.0)
            harness.reload(settings=make_settings(limits=LIMITS | {"idle_close_us": 1}))
            await wait_until(lambda: server.closed_by_peer == 1)
            assert await harness.status("look") == 200

    run_scenario(scenario())


def test_settings_of_a_thousand_classes_and_tenants_take_effect_quickly() -> None:
    async def scenario() -> None:
        async with reload_harness(never_respond) as harness:
            pending = harness.send("look")
            await wait_until(lambda: harness.proxy.servers[0].requests)
            classes = [ADDED_CLASS | {"name": f"c{number}"} for number in range(CLASS_AND_TENANT_COUNT)]
            tenants = [{"name": f"t{number}", "share": 1.0} for number in range(CLASS_AND_TENANT_COUNT)]
            result = harness.reload(settings=make_settings(classes=classes, tenants=tenants))
            assert isinstance(result, Applied)
            assert result.duration_s < RELOAD_LIMIT_S
            harness.proxy.servers[0].script = lambda *_: encode_response()
            last = f"{CLASS_AND_TENANT_COUNT - 1}"
            assert (await harness.proxy.send_request(kind=f"c{last}", method="GET", X_Caller=f"t{last}"))[
                0
            ] == 200
            harness.proxy.servers[0].writers[0].write(encode_response())
            assert (await pending)[0] == 200

    run_scenario(scenario())


def test_an_exception_in_the_balancer_leaves_the_sidecar_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with reload_harness() as harness:
            balancer, handle = harness.proxy.sidecar._balancer, harness.proxy.sidecar._balancer.handle

            def broken(now: int, event: Event) -> list[Action]:
                if event == SettingsChanged(OTHER_SETTINGS):
                    raise RuntimeError("a defect")
                return handle(now, event)

            monkeypatch.setattr(balancer, "handle", broken)
            assert isinstance(harness.reload(settings=OTHER_SETTINGS), Rejected)
            assert [await harness.status(kind) for kind in ("look", "added")] == [200, 400]
            monkeypatch.setattr(balancer, "handle", handle)
            assert isinstance(harness.reload(settings=OTHER_SETTINGS), Applied)
            assert await harness.status("added") == 200

    run_scenario(scenario())
