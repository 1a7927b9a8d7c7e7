"""Reloads: what takes force while the sidecar runs, and what must not change by it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from helpers import settings
from loopback import CLASSES, LIMITS, FakeDiscovery, World, answer, play, until, world

from sidecar.balancer.actions import Action
from sidecar.balancer.events import Event, SettingsChanged
from sidecar.configuration import read_config
from sidecar.proxy.discovery import RegistryResponse
from sidecar.proxy.driver import Config
from sidecar.reload import Applied, Rejected, Reloader, ReloadResult, Unchanged
from sidecar.settings import Settings

ADDED = CLASSES[0] | {"name": "added"}
MANY = 1_024
WIRE_CLASS = {"name": "look", "giveUpUs": 2_000_000}
AT_ONCE_S = 5.0  # many times what it takes, as tests share a machine


def read_from(config: Config) -> Callable[[], Config]:
    return lambda: config


def changed(**changes: Any) -> Settings:
    return settings(**{"classes": CLASSES, "limits": LIMITS, **changes})


# -- Versions, bad files and defects


@dataclass
class Applying:
    """Stands for a sidecar: keeps what was put into force, and fails on the first of some versions."""

    fails_on: set[int | None] = field(default_factory=set)
    done: list[tuple[Config, Config]] = field(default_factory=list)

    def __call__(self, former: Config, given: Config) -> None:
        self.done.append((former, given))
        if given.version in self.fails_on:
            raise RuntimeError("a defect")


START = Config(("127.0.0.1", 1), ("127.0.0.1", 2), 7, 256, changed(), RegistryResponse(0, True, []), 4)
OTHER = changed(classes=[*CLASSES, ADDED])


def test_a_newer_version_takes_force_and_says_what_it_changed(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    applying = Applying()
    reloader = Reloader(START, applying)
    given = replace(START, version=5, settings=OTHER, discovery=("127.0.0.1", 3), seed=8, sockets=512)
    result = reloader.reload(read_from(given))
    assert isinstance(result, Applied)
    assert (result.version, result.changed) == (5, ("classes", "address of discovery"))
    assert result.needs_restart == ("seed", "sockets")
    assert reloader.active is given and applying.done == [(START, given)]
    [line] = [each.getMessage() for each in caplog.records]
    assert line.startswith("configuration version 5 in force after ")
    assert line.endswith("changed: classes, address of discovery; needs a restart: seed, sockets")


def test_what_needs_a_restart_is_judged_by_the_start_not_by_the_last_file() -> None:
    reloader = Reloader(START, Applying())
    reloader.reload(read_from(replace(START, version=5, seed=8)))
    result = reloader.reload(read_from(replace(START, version=6, seed=8)))
    assert isinstance(result, Applied) and result.needs_restart == ("seed",)
    result = reloader.reload(read_from(replace(START, version=7)))
    assert isinstance(result, Applied) and result.needs_restart == ()


@pytest.mark.parametrize("version", [None, 4])
def test_the_same_contents_change_nothing(version: int | None) -> None:
    # Not even where the list of the start differs: whoever writes the file may put in what it knows by now.
    start, applying = replace(START, version=version), Applying()
    again = replace(start, known=RegistryResponse(9, True, []))
    assert Reloader(start, applying).reload(read_from(again)) == Unchanged(version)
    assert applying.done == []


@pytest.mark.parametrize("version", [0, 3, 4])
def test_a_version_that_is_not_newer_is_rejected(version: int, caplog: pytest.LogCaptureFixture) -> None:
    applying = Applying()
    reloader = Reloader(START, applying)
    result = reloader.reload(read_from(replace(START, version=version, settings=OTHER)))
    assert isinstance(result, Rejected) and f"version {version}" in result.reason
    assert reloader.active is START and applying.done == []
    assert caplog.messages == [f"the configuration stays as it was: {result.reason}"]


def test_a_file_without_a_version_is_always_taken_and_any_version_after_it() -> None:
    reloader = Reloader(START, Applying())
    for version, given in ((None, OTHER), (None, START.settings), (1, OTHER)):
        assert isinstance(
            reloader.reload(read_from(replace(START, version=version, settings=given))), Applied
        )


def test_an_earlier_configuration_comes_back_as_a_newer_version() -> None:
    applying = Applying()
    reloader = Reloader(START, applying)
    reloader.reload(read_from(replace(START, version=5, settings=OTHER)))
    result = reloader.reload(read_from(replace(START, version=6)))
    assert isinstance(result, Applied) and result.changed == ("classes",)
    assert applying.done[-1][1].settings == START.settings


def test_a_bad_file_between_two_good_ones_leaves_the_former_in_force(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path, applying = tmp_path / "config.json", Applying()
    lanes = [WIRE_CLASS]
    given: dict[str, Any] = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {"lanes": lanes},
    }

    def read() -> Config:
        return read_config({"RELAY_CONFIG": str(path)})

    def put(content: object) -> ReloadResult:
        path.write_text(content if isinstance(content, str) else json.dumps(content), encoding="utf-8")
        return reloader.reload(read)

    path.write_text(json.dumps(given | {"version": 1}), encoding="utf-8")
    reloader = Reloader(read(), applying)
    assert isinstance(put(given | {"version": 2, "discovery": "127.0.0.1:3"}), Applied)
    for bad in (
        "",
        json.dumps(given)[:-9],
        "[" * 100_000,
        given | {"version": 9, "settings": {"lanes": []}},
        given | {"version": 9, "settings": {"lanes": lanes, "bounds": {"sendCap": "many"}}},
        *(given | {"version": version} for version in ("9", 9.5, True, -1)),
    ):
        assert isinstance(put(bad), Rejected)
    path.unlink()
    assert isinstance(reloader.reload(read), Rejected)
    assert len(caplog.messages) == 10 and len(applying.done) == 1
    assert isinstance(put(given | {"version": 3, "discovery": "127.0.0.1:4"}), Applied)
    assert [each.discovery[1] for pair in applying.done for each in pair] == [2, 3, 3, 4]


def test_a_defect_on_the_way_brings_the_former_configuration_back() -> None:
    applying = Applying(fails_on={5})
    reloader = Reloader(START, applying)
    given = replace(START, version=5, settings=OTHER)
    assert isinstance(reloader.reload(read_from(given)), Rejected)
    assert applying.done == [(START, given), (given, START)] and reloader.active is START
    assert isinstance(reloader.reload(read_from(replace(given, version=6))), Applied)


def test_a_reload_reads_no_line_of_the_list_that_the_start_alone_needs(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    given = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"lanes": [WIRE_CLASS]}}
    line = {"name": "s-0", "address": "127.0.0.1:3", "status": "active"}

    def lines(known: object, with_entries: bool) -> int:
        path.write_text(json.dumps(given | {"known": known}), encoding="utf-8")
        config = read_config({"RELAY_CONFIG": str(path)}, with_known_endpoints=with_entries)
        return len(config.known.lines)

    known = {"index": 1, "snapshot": True, "endpoints": [line]}
    assert [lines(known, with_entries) for with_entries in (True, False)] == [1, 0]
    junks: list[object] = [[], {"index": 1}, {"index": "1", "endpoints": []}, {"index": 1, "endpoints": {}}]
    for junk in junks:
        with pytest.raises(ValueError):
            lines(junk, with_entries=False)


# -- Requests, discovery and connections


class Reloading:
    """A world whose configuration can be replaced."""

    def __init__(self, made: World) -> None:
        self.world = made
        self._reloader = Reloader(made.config, made.sidecar.reconfigure)

    def reload(self, **changes: Any) -> ReloadResult:
        return self._reloader.reload(read_from(replace(self._reloader.active, **changes)))

    def hold(self, kind: str) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
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


def silent(*_: object) -> None:
    return None


@pytest.mark.parametrize("kind", ["look", "pay", "amend"])
def test_a_request_in_flight_keeps_its_class_though_that_is_removed(kind: str) -> None:
    async def scene() -> None:
        async with reloading(silent) as r:
            [server] = r.world.servers
            held = r.hold(kind)
            await until(lambda: server.requests)
            assert isinstance(r.reload(settings=changed(classes=[ADDED])), Applied)
            assert await r.status(kind) == 400
            server.writers[0].write(answer(200, b"served"))
            assert (await held)[::2] == (200, b"served")
            # What may run once alone is not taken again under its id, by the class that it came with.
            again = {"kind": "added", "method": "GET", "X_Call_Id": f"{1:016x}", "budget": "0.001"}
            repeated = (await r.world.ask(**again))[0]
            assert (repeated == 409) == (kind != "look")
            assert not r.world.sidecar._live

    play(scene())


def test_a_class_that_is_added_is_taken_and_twice_in_a_row_the_last_holds() -> None:
    async def scene() -> None:
        async with reloading() as r:
            assert await r.status("added") == 400
            r.reload(settings=changed(classes=[*CLASSES, ADDED]))
            r.reload(settings=changed(classes=[*CLASSES, ADDED | {"name": "last"}]))
            assert [await r.status(kind) for kind in ("look", "added", "last")] == [200, 400, 200]

    play(scene())


def test_tenants_and_deadlines_hold_for_requests_that_come_from_then_on() -> None:
    async def scene() -> None:
        async with reloading() as r:
            shorter = [each | {"deadline_us": 4_000_000} for each in CLASSES]
            r.reload(settings=changed(classes=shorter, tenants=[{"name": "acme"}]))
            assert (await r.world.ask(budget="5.0"))[0] == 400
            assert (await r.world.ask(budget="4.0", X_Caller="other"))[0] == 400
            assert (await r.world.ask(budget="4.0", X_Caller="acme"))[0] == 200

    play(scene())


def test_settings_take_force_while_discovery_is_down() -> None:
    async def scene() -> None:
        async with reloading() as r:
            r.world.discovery.answers.put_nowait(answer(503))
            await until(lambda: r.world.discovery.called(1))
            r.world.discovery.stop()
            assert isinstance(r.reload(settings=OTHER), Applied)
            assert await r.status("added") == 200

    play(scene())


@pytest.mark.parametrize("changes", [{}, {"settings": OTHER}, {"version": 9}])
def test_where_discovery_did_not_move_its_watch_goes_on(changes: dict[str, Any]) -> None:
    # Asked anew, thousands of sidecars would fetch their whole lists at each change of any setting.
    async def scene() -> None:
        async with reloading() as r:
            discovery, sidecar = r.world.discovery, r.world.sidecar
            await until(lambda: discovery.called(1))
            watch = sidecar._discovery._watch
            assert isinstance(r.reload(**changes), Applied if changes else Unchanged)
            assert sidecar._discovery._watch is watch
            # The watch that was open before tells of a change after it.
            discovery.say(42, [r.world.servers[0].entry(status="leaving")])
            await until(lambda: discovery.called(2))
            assert discovery.targets[1].startswith("/registry/instances?after=42&")
            assert await r.status("look") == 503 and not r.world.servers[0].requests

    play(scene())


def test_settings_and_a_new_address_of_discovery_take_force_together() -> None:
    async def scene() -> None:
        latter = FakeDiscovery()
        await latter.start()
        async with reloading() as r:
            await until(lambda: r.world.discovery.called(1))
            r.reload(settings=OTHER, discovery=latter.address)
            await until(lambda: latter.called(1))
            assert latter.targets == ["/registry/instances"]
            assert await r.status("added") == 200
            assert len(r.world.discovery.targets) == 1
        latter.stop()

    play(scene())


@pytest.mark.parametrize(("former", "latter"), [("on_request", "pushed"), ("pushed", "on_request")])
def test_a_watch_goes_on_through_a_change_of_how_discovery_tells(former: str, latter: str) -> None:
    async def scene() -> None:
        async with reloading(discovery=former) as r:
            discovery = r.world.discovery
            await until(lambda: discovery.called(1))
            assert isinstance(r.reload(settings=changed(discovery=latter)), Applied)
            discovery.answers.put_nowait(answer(503))
            await until(lambda: discovery.called(2))  # after a failed call it is made again, by either
            discovery.say(42, [r.world.servers[0].entry(status="leaving")])
            await until(lambda: discovery.called(3))
            assert await r.status("look") == 503

    play(scene())


def test_a_reload_in_a_drain_neither_cuts_nor_stops_it() -> None:
    async def scene() -> None:
        async with reloading(silent) as r:
            [server], sidecar = r.world.servers, r.world.sidecar
            held = r.hold("pay")
            await until(lambda: server.requests)
            r.world.stop.set()
            await until(lambda: sidecar.frontend.draining)
            brief = ADDED | {"deadline_us": 1, "latency_target_us": 1}
            assert isinstance(r.reload(settings=changed(classes=[brief])), Applied)
            server.writers[0].write(answer(200, b"served"))
            assert (await held)[::2] == (200, b"served")
            await until(sidecar.frontend.is_empty)

    play(scene())


def test_idle_connections_end_by_the_new_time_counted_from_when_they_became_idle() -> None:
    async def scene() -> None:
        async with reloading(limits=LIMITS | {"idle_close_us": 600_000_000}) as r:
            [server] = r.world.servers
            assert await r.status("look") == 200
            [(_, timer)] = r.world.sidecar._upstream._endpoints[server.name].idle
            idle_since = timer.when() - 0.9 * 600.0
            r.reload(settings=changed(limits=LIMITS | {"idle_close_us": 400_000_000}))
            [(_, timer)] = r.world.sidecar._upstream._endpoints[server.name].idle
            assert timer.when() == pytest.approx(idle_since + 0.9 * 400.0)
            r.reload(settings=changed(limits=LIMITS | {"idle_close_us": 1}))
            await until(lambda: server.closed == 1)
            assert await r.status("look") == 200

    play(scene())


def test_settings_of_a_thousand_classes_and_tenants_take_force_at_once() -> None:
    async def scene() -> None:
        async with reloading(silent) as r:
            held = r.hold("look")
            await until(lambda: r.world.servers[0].requests)
            classes = [ADDED | {"name": f"c{number}"} for number in range(MANY)]
            tenants = [{"name": f"t{number}", "share": 1.0} for number in range(MANY)]
            result = r.reload(settings=changed(classes=classes, tenants=tenants))
            assert isinstance(result, Applied) and result.duration_s < AT_ONCE_S
            r.world.servers[0].script = lambda *_: answer()
            last = f"{MANY - 1}"
            assert (await r.world.ask(kind=f"c{last}", method="GET", X_Caller=f"t{last}"))[0] == 200
            r.world.servers[0].writers[0].write(answer())
            assert (await held)[0] == 200

    play(scene())


def test_a_defect_of_the_balancer_leaves_the_sidecar_as_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
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
