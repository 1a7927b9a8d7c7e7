"""Reloads of a sidecar that serves: requests, discovery and connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from typing import Any

import pytest
from loopback import CLASSES, LIMITS, FakeDiscovery, World, answer, hung, play, until, world
from reload_stage import ADDED, OTHER, changed, read_from

from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, SettingsChanged
from sidecar.reload import Applied, Rejected, Reloader, ReloadResult, Unchanged

MANY = 1_024
AT_ONCE_S = 5.0  # many times what it takes, as tests share a machine


class Reloading:
    """A sidecar with its surroundings, whose configuration can be reloaded."""

    def __init__(self, made: World) -> None:
        self.world = made
        self._reloader = Reloader(made.config, made.sidecar.reconfigure)

    def reload(self, **changes: Any) -> ReloadResult:
        return self._reloader.reload(read_from(replace(self._reloader.active, **changes)))

    def send(self, kind: str) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
        return asyncio.ensure_future(self.world.ask(kind=kind))

    async def status(self, kind: str) -> int:
        method = "POST" if kind in ("pay", "amend") else "GET"
        return (await self.world.ask(kind=kind, method=method))[0]


@contextlib.asynccontextmanager
async def reloading(
    script: Callable[..., bytes | None] = lambda *_: answer(), **changes: Any
) -> AsyncIterator[Reloading]:
    async with world(script, **changes) as made:
        yield Reloading(made)


@pytest.mark.parametrize("kind", ["look", "pay", "amend"])
def test_a_request_in_flight_keeps_its_class_when_the_class_is_removed(kind: str) -> None:
    async def scene() -> None:
        async with reloading(hung) as r:
            [server] = r.world.servers
            pending = r.send(kind)
            await until(lambda: server.requests)
            assert isinstance(r.reload(settings=changed(classes=[ADDED])), Applied)
            assert await r.status(kind) == 400
            server.writers[0].write(answer(200, b"served"))
            assert (await pending)[::2] == (200, b"served")
            # What may run once alone is not taken again under its id, by the class that it came with.
            again = {"kind": "added", "method": "GET", "X_Call_Id": f"{1:016x}", "budget": "0.001"}
            repeated = (await r.world.ask(**again))[0]
            assert (repeated == 409) == (kind != "look")
            assert not r.world.sidecar._active

    play(scene())


def test_an_added_class_is_accepted_and_of_two_reloads_the_last_holds() -> None:
    async def scene() -> None:
        async with reloading() as r:
            assert await r.status("added") == 400
            r.reload(settings=changed(classes=[*CLASSES, ADDED]))
            r.reload(settings=changed(classes=[*CLASSES, ADDED | {"name": "last"}]))
            assert [await r.status(kind) for kind in ("look", "added", "last")] == [200, 400, 200]

    play(scene())


def test_new_tenants_and_deadlines_hold_for_later_requests() -> None:
    async def scene() -> None:
        async with reloading() as r:
            shorter = [each | {"deadline_us": 4_000_000} for each in CLASSES]
            r.reload(settings=changed(classes=shorter, tenants=[{"name": "acme"}]))
            assert (await r.world.ask(budget="5.0"))[0] == 400
            assert (await r.world.ask(budget="4.0", X_Caller="other"))[0] == 400
            assert (await r.world.ask(budget="4.0", X_Caller="acme"))[0] == 200

    play(scene())


def test_settings_take_effect_while_discovery_is_down() -> None:
    async def scene() -> None:
        async with reloading() as r:
            r.world.discovery.answers.put_nowait(answer(503))
            await until(lambda: r.world.discovery.called(1))
            r.world.discovery.stop()
            assert isinstance(r.reload(settings=OTHER), Applied)
            assert await r.status("added") == 200

    play(scene())


@pytest.mark.parametrize("changes", [{}, {"settings": OTHER}, {"version": 9}])
def test_the_watch_continues_while_the_address_of_discovery_is_the_same(changes: dict[str, Any]) -> None:
    # Asked anew, thousands of sidecars would fetch their whole lists at each change of any setting.
    async def scene() -> None:
        async with reloading() as r:
            discovery, sidecar = r.world.discovery, r.world.sidecar
            await until(lambda: discovery.called(1))
            watch = sidecar._endpoint_list.client._watch
            assert isinstance(r.reload(**changes), Applied if changes else Unchanged)
            assert sidecar._endpoint_list.client._watch is watch
            # The watch that was open before tells of a change after it.
            discovery.say(42, [r.world.servers[0].entry(status="leaving")])
            await until(lambda: discovery.called(2))
            assert discovery.targets[1].startswith("/registry/instances?after=42&")
            assert await r.status("look") == 503
            assert not r.world.servers[0].requests

    play(scene())


def test_settings_and_a_new_address_of_discovery_take_effect_together() -> None:
    async def scene() -> None:
        new_discovery = FakeDiscovery()
        await new_discovery.start()
        async with reloading() as r:
            await until(lambda: r.world.discovery.called(1))
            r.reload(settings=OTHER, discovery=new_discovery.address)
            await until(lambda: new_discovery.called(1))
            assert new_discovery.targets == ["/registry/instances"]
            assert await r.status("added") == 200
            assert len(r.world.discovery.targets) == 1
        new_discovery.stop()

    play(scene())


@pytest.mark.parametrize(("old_mode", "new_mode"), [("on_request", "pushed"), ("pushed", "on_request")])
def test_the_watch_continues_when_the_mode_of_discovery_changes(old_mode: str, new_mode: str) -> None:
    async def scene() -> None:
        async with reloading(discovery=old_mode) as r:
            discovery = r.world.discovery
            await until(lambda: discovery.called(1))
            assert isinstance(r.reload(settings=changed(discovery=new_mode)), Applied)
            discovery.answers.put_nowait(answer(503))
            await until(lambda: discovery.called(2))  # after a failed call it is made again, by either
            discovery.say(42, [r.world.servers[0].entry(status="leaving")])
            await until(lambda: discovery.called(3))
            assert await r.status("look") == 503

    play(scene())


def test_a_reload_during_graceful_shutdown_does_not_interrupt_it() -> None:
    async def scene() -> None:
        async with reloading(hung) as r:
            [server], sidecar = r.world.servers, r.world.sidecar
            pending = r.send("pay")
            await until(lambda: server.requests)
            r.world.stop.set()
            await until(lambda: sidecar.frontend.draining)
            brief = ADDED | {"deadline_us": 1, "latency_target_us": 1}
            assert isinstance(r.reload(settings=changed(classes=[brief])), Applied)
            server.writers[0].write(answer(200, b"served"))
            assert (await pending)[::2] == (200, b"served")
            await until(sidecar.frontend.is_empty)

    play(scene())


def test_idle_connections_are_closed_by_the_new_timeout_since_they_became_idle() -> None:
    async def scene() -> None:
        async with reloading(limits=LIMITS | {"idle_close_us": 600_000_000}) as r:
            [server] = r.world.servers
            assert await r.status("look") == 200
            [idle] = r.world.sidecar._pool.servers[server.name].idle
            idle_since = idle.close_timer.when() - 0.9 * 600.0
            r.reload(settings=changed(limits=LIMITS | {"idle_close_us": 400_000_000}))
            [idle] = r.world.sidecar._pool.servers[server.name].idle
            assert idle.close_timer.when() == pytest.approx(idle_since + 0.9 * 400.0)
            r.reload(settings=changed(limits=LIMITS | {"idle_close_us": 1}))
            await until(lambda: server.closed == 1)
            assert await r.status("look") == 200

    play(scene())


def test_settings_of_a_thousand_classes_and_tenants_take_effect_at_once() -> None:
    async def scene() -> None:
        async with reloading(hung) as r:
            pending = r.send("look")
            await until(lambda: r.world.servers[0].requests)
            classes = [ADDED | {"name": f"c{number}"} for number in range(MANY)]
            tenants = [{"name": f"t{number}", "share": 1.0} for number in range(MANY)]
            result = r.reload(settings=changed(classes=classes, tenants=tenants))
            assert isinstance(result, Applied)
            assert result.duration_s < AT_ONCE_S
            r.world.servers[0].script = lambda *_: answer()
            last = f"{MANY - 1}"
            assert (await r.world.ask(kind=f"c{last}", method="GET", X_Caller=f"t{last}"))[0] == 200
            r.world.servers[0].writers[0].write(answer())
            assert (await pending)[0] == 200

    play(scene())


def test_an_exception_in_the_balancer_leaves_the_sidecar_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        async with reloading() as r:
            balancer, handle = r.world.sidecar._balancer, r.world.sidecar._balancer.handle

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

    play(scene())
