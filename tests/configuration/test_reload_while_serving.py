"""Reloads of a sidecar that serves: requests, discovery and connections."""

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
from reload_stage import ADDED, OTHER, changed, read_from

from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, SettingsChanged
from sidecar.reload import Applied, Rejected, Reloader, ReloadResult, Unchanged

MANY = 1_024
AT_ONCE_S = 5.0  # many times what it takes, as tests share a machine


class Reloading:
    """A sidecar with its surroundings, whose configuration can be reloaded."""

    def __init__(self, made: ProxyHarness) -> None:
        self.proxy = made
        self._reloader = Reloader(made.config, made.sidecar.reconfigure)

    def reload(self, **changes: Any) -> ReloadResult:
        return self._reloader.reload(read_from(replace(self._reloader.active, **changes)))

    def send(self, kind: str) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
        return asyncio.ensure_future(self.proxy.send_request(kind=kind))

    async def status(self, kind: str) -> int:
        method = "POST" if kind in ("pay", "amend") else "GET"
        return (await self.proxy.send_request(kind=kind, method=method))[0]


@contextlib.asynccontextmanager
async def reloading(
    script: Callable[..., bytes | None] = lambda *_: encode_response(), **changes: Any
) -> AsyncIterator[Reloading]:
    async with running_proxy(script, **changes) as made:
        yield Reloading(made)


@pytest.mark.parametrize("kind", ["look", "pay", "amend"])
def test_a_request_in_flight_keeps_its_class_when_the_class_is_removed(kind: str) -> None:
    async def scenario() -> None:
        async with reloading(never_respond) as r:
            [server] = r.proxy.servers
            pending = r.send(kind)
            await wait_until(lambda: server.requests)
            assert isinstance(r.reload(settings=changed(classes=[ADDED])), Applied)
            assert await r.status(kind) == 400
            server.writers[0].write(encode_response(200, b"served"))
            assert (await pending)[::2] == (200, b"served")
            # What may run once alone is not taken again under its id, by the class that it came with.
            again = {"kind": "added", "method": "GET", "X_Call_Id": f"{1:016x}", "budget": "0.001"}
            repeated = (await r.proxy.send_request(**again))[0]
            assert (repeated == 409) == (kind != "look")
            assert not r.proxy.sidecar._active

    run_scenario(scenario())


def test_an_added_class_is_accepted_and_of_two_reloads_the_last_holds() -> None:
    async def scenario() -> None:
        async with reloading() as r:
            assert await r.status("added") == 400
            r.reload(settings=changed(classes=[*CLASSES, ADDED]))
            r.reload(settings=changed(classes=[*CLASSES, ADDED | {"name": "last"}]))
            assert [await r.status(kind) for kind in ("look", "added", "last")] == [200, 400, 200]

    run_scenario(scenario())


def test_new_tenants_and_deadlines_hold_for_later_requests() -> None:
    async def scenario() -> None:
        async with reloading() as r:
            shorter = [each | {"deadline_us": 4_000_000} for each in CLASSES]
            r.reload(settings=changed(classes=shorter, tenants=[{"name": "acme"}]))
            assert (await r.proxy.send_request(budget="5.0"))[0] == 400
            assert (await r.proxy.send_request(budget="4.0", X_Caller="other"))[0] == 400
            assert (await r.proxy.send_request(budget="4.0", X_Caller="acme"))[0] == 200

    run_scenario(scenario())


def test_settings_take_effect_while_discovery_is_down() -> None:
    async def scenario() -> None:
        async with reloading() as r:
            r.proxy.discovery.responses.put_nowait(encode_response(503))
            await wait_until(lambda: r.proxy.discovery.called(1))
            r.proxy.discovery.stop()
            assert isinstance(r.reload(settings=OTHER), Applied)
            assert await r.status("added") == 200

    run_scenario(scenario())


@pytest.mark.parametrize("changes", [{}, {"settings": OTHER}, {"version": 9}])
def test_the_watch_continues_while_the_address_of_discovery_is_the_same(changes: dict[str, Any]) -> None:
    # Asked anew, thousands of sidecars would fetch their whole lists at each change of any setting.
    async def scenario() -> None:
        async with reloading() as r:
            discovery, sidecar = r.proxy.discovery, r.proxy.sidecar
            await wait_until(lambda: discovery.called(1))
            watch = sidecar._endpoint_list.client._watch
            assert isinstance(r.reload(**changes), Applied if changes else Unchanged)
            assert sidecar._endpoint_list.client._watch is watch
            # The watch that was open before tells of a change after it.
            discovery.push_update(42, [r.proxy.servers[0].entry(status="leaving")])
            await wait_until(lambda: discovery.called(2))
            assert discovery.targets[1].startswith("/registry/instances?after=42&")
            assert await r.status("look") == 503
            assert not r.proxy.servers[0].requests

    run_scenario(scenario())


def test_settings_and_a_new_address_of_discovery_take_effect_together() -> None:
    async def scenario() -> None:
        new_discovery = FakeDiscovery()
        await new_discovery.start()
        async with reloading() as r:
            await wait_until(lambda: r.proxy.discovery.called(1))
            r.reload(settings=OTHER, discovery=new_discovery.address)
            await wait_until(lambda: new_discovery.called(1))
            assert new_discovery.targets == ["/registry/instances"]
            assert await r.status("added") == 200
            assert len(r.proxy.discovery.targets) == 1
        new_discovery.stop()

    run_scenario(scenario())


@pytest.mark.parametrize(("old_mode", "new_mode"), [("on_request", "pushed"), ("pushed", "on_request")])
def test_the_watch_continues_when_the_mode_of_discovery_changes(old_mode: str, new_mode: str) -> None:
    async def scenario() -> None:
        async with reloading(discovery=old_mode) as r:
            discovery = r.proxy.discovery
            await wait_until(lambda: discovery.called(1))
            assert isinstance(r.reload(settings=changed(discovery=new_mode)), Applied)
            discovery.responses.put_nowait(encode_response(503))
            await wait_until(lambda: discovery.called(2))  # after a failed call it is made again, by either
            discovery.push_update(42, [r.proxy.servers[0].entry(status="leaving")])
            await wait_until(lambda: discovery.called(3))
            assert await r.status("look") == 503

    run_scenario(scenario())


def test_a_reload_during_graceful_shutdown_does_not_interrupt_it() -> None:
    async def scenario() -> None:
        async with reloading(never_respond) as r:
            [server], sidecar = r.proxy.servers, r.proxy.sidecar
            pending = r.send("pay")
            await wait_until(lambda: server.requests)
            r.proxy.stop.set()
            await wait_until(lambda: sidecar.frontend.draining)
            brief = ADDED | {"deadline_us": 1, "latency_target_us": 1}
            assert isinstance(r.reload(settings=changed(classes=[brief])), Applied)
            server.writers[0].write(encode_response(200, b"served"))
            assert (await pending)[::2] == (200, b"served")
            await wait_until(sidecar.frontend.has_no_connections)

    run_scenario(scenario())


def test_idle_connections_are_closed_by_the_new_timeout_since_they_became_idle() -> None:
    async def scenario() -> None:
        async with reloading(limits=LIMITS | {"idle_close_us": 600_000_000}) as r:
            [server] = r.proxy.servers
            assert await r.status("look") == 200
            [idle] = r.proxy.sidecar._pool.servers[server.name].idle_connections
            idle_since = idle.close_timer.when() - 0.9 * 600.0
            r.reload(settings=changed(limits=LIMITS | {"idle_close_us": 400_000_000}))
            [idle] = r.proxy.sidecar._pool.servers[server.name].idle_connections
            assert idle.close_timer.when() == pytest.approx(idle_since + 0.9 * 400.0)
            r.reload(settings=changed(limits=LIMITS | {"idle_close_us": 1}))
            await wait_until(lambda: server.closed == 1)
            assert await r.status("look") == 200

    run_scenario(scenario())


def test_settings_of_a_thousand_classes_and_tenants_take_effect_at_once() -> None:
    async def scenario() -> None:
        async with reloading(never_respond) as r:
            pending = r.send("look")
            await wait_until(lambda: r.proxy.servers[0].requests)
            classes = [ADDED | {"name": f"c{number}"} for number in range(MANY)]
            tenants = [{"name": f"t{number}", "share": 1.0} for number in range(MANY)]
            result = r.reload(settings=changed(classes=classes, tenants=tenants))
            assert isinstance(result, Applied)
            assert result.duration_s < AT_ONCE_S
            r.proxy.servers[0].script = lambda *_: encode_response()
            last = f"{MANY - 1}"
            assert (await r.proxy.send_request(kind=f"c{last}", method="GET", X_Caller=f"t{last}"))[0] == 200
            r.proxy.servers[0].writers[0].write(encode_response())
            assert (await pending)[0] == 200

    run_scenario(scenario())


def test_an_exception_in_the_balancer_leaves_the_sidecar_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with reloading() as r:
            balancer, handle = r.proxy.sidecar._balancer, r.proxy.sidecar._balancer.handle

            def broken(now: int, event: Event) -> list[Action]:
                if event == SettingsChanged(OTHER):
                    raise RuntimeError("a defect")
                return handle(now, event)

            monkeypatch.setattr(balancer, "handle", broken)
            assert isinstance(r.reload(settings=OTHER), Rejected)
            assert [await r.status(kind) for kind in ("look", "added")] == [200, 400]
            monkeypatch.setattr(balancer, "handle", handle)
            assert isinstance(r.reload(settings=OTHER), Applied)
            assert await r.status("added") == 200

    run_scenario(scenario())
