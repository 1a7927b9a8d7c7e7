"""Discovery over loopback, and how its updates reach the balancer and the connections."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import S
from loopback import FakeDiscovery, answer, play, served, until, world
from virtual_time import play_in_virtual_time

from sidecar.balancer.events import ServerState
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery_client import _EMPTY_RESPONSE_PAUSE_S, DiscoveryClient
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response


def entry(name: Any = "s-1", **changes: Any) -> dict[str, Any]:
    given = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return given | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


def test_watch_continues_from_the_cached_list_and_repeats_at_once() -> None:
    async def scene() -> None:
        async with world(served) as w:
            for index in (42, 43, 44):
                w.discovery.say(index, [])
            await until(lambda: len(w.discovery.targets) == 4)
            paths = [each.split("&")[0] for each in w.discovery.targets]
            assert paths == [f"/registry/instances?after={index}" for index in (41, 42, 43, 44)]
            assert _EMPTY_RESPONSE_PAUSE_S < 0.2  # the only pause there is; later it would be a new watch

    play(scene())


def test_deltas_and_snapshots_reach_the_balancer() -> None:
    async def scene() -> None:
        async with world(served, served) as w:
            states = w.sidecar._balancer._context.registry.servers
            first, second = w.servers
            w.discovery.say(42, [first.entry(status="leaving")])
            await until(lambda: states["s-0"].state is ServerState.DRAINING)
            for _ in range(10):
                assert (await w.ask())[0] == 200
            assert not first.requests
            w.discovery.say(43, [first.entry()], snapshot=True)  # who is missing is gone
            await until(lambda: "s-1" not in states)
            assert set(w.sidecar._pool.servers) == {"s-0"}
            seen = len(second.requests)
            for _ in range(10):
                assert (await w.ask())[0] == 200
            assert len(second.requests) == seen

    play(scene())


def test_restarted_server_is_in_slow_start() -> None:
    async def scene() -> None:
        async with world(served) as w:
            server = w.sidecar._balancer._context.registry.servers["s-0"]
            since_ms = w.sidecar._clock.now() // 1000
            w.discovery.say(42, [w.servers[0].entry(since_ms=since_ms)])
            await until(lambda: server.started_at == since_ms * 1000)
            assert w.sidecar._balancer._slow_start.is_warming_up(server)

    play(scene())


@pytest.mark.parametrize(
    "bad",
    [
        answer(503, b""),
        answer(200, b"not json"),
        answer(200, b'{"index": "x", "endpoints": []}'),
        answer(200, b"[]"),
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{",
    ],
)
def test_failed_registry_call_is_reported_and_retried(bad: bytes) -> None:
    async def scene() -> None:
        async with world(served, rules={"max_poll_interval_us": 1 * S}) as w:
            w.discovery.answers.put_nowait(bad)
            await until(lambda: len(w.discovery.targets) == 2)
            assert w.sidecar._balancer._registry_poller.failed_polls == 1
            assert (await w.ask())[0] == 200

    play(scene())


def test_registry_that_is_down_is_a_failed_call() -> None:
    async def scene() -> None:
        heard: list[RegistryResponse | None] = []
        down = FakeDiscovery()
        await down.start()
        down.stop()
        discovery = DiscoveryClient(down.address, 1, heard.append)
        discovery.start_watch()
        await until(lambda: heard == [None])
        await until(lambda: discovery._watch is None or discovery._watch.done())
        discovery.start_watch()  # and a new watch may begin
        await until(lambda: heard == [None, None])

    play(scene())


def test_watch_is_not_started_twice_and_can_be_stopped() -> None:
    async def scene() -> None:
        service = FakeDiscovery()
        await service.start()
        heard: list[RegistryResponse | None] = []
        discovery = DiscoveryClient(service.address, 1, heard.append)
        for _ in range(3):
            discovery.start_watch()
        await until(lambda: service.targets)
        discovery.fetch()
        await until(lambda: len(service.targets) == 2)
        assert service.targets[1] == "/registry/instances"
        service.say(7, [entry()], snapshot=True)
        await until(lambda: heard)
        discovery.stop_watch()
        assert discovery._watch is None
        service.stop()

    play(scene())


def test_silent_watch_is_reopened_before_the_former_call_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards rule 3: with no call in flight for a moment, or a pause before the next one, a sidecar counts as
    # notified of drains that it has not heard of.  The balancer polls again too late here.
    monkeypatch.setattr("sidecar.proxy.discovery_client._WATCH_WAIT_MS", (20, 20))
    monkeypatch.setattr("sidecar.proxy.discovery_client._WATCH_MARGIN_S", 0.02)

    async def scene() -> None:
        async with world(served, rules={"max_poll_interval_us": 600 * S}) as w:
            server = w.sidecar._balancer._context.registry.servers["s-0"]

            def is_told() -> bool:
                w.discovery.say(42, [w.servers[0].entry(status="leaving")])  # to whichever call is out
                return server.state is ServerState.DRAINING

            w.discovery.answers.put_nowait(None)
            await until(lambda: "left 1" in w.discovery.happened)
            await until(is_told)
            assert w.discovery.happened[:2] == ["call 1", "call 2"]

    play(scene())


def test_pushed_lists_are_watched_by_themselves() -> None:
    async def scene() -> None:
        async with world(served, discovery="pushed") as w:
            w.discovery.answers.put_nowait(answer(503, b""))
            w.discovery.say(42, [w.servers[0].entry(status="leaving")])
            await until(
                lambda: w.sidecar._balancer._context.registry.servers["s-0"].state is ServerState.DRAINING
            )

    play(scene())


def test_invalid_entries_of_a_list_are_skipped() -> None:
    junk: list[Any] = [
        7,
        None,
        [],
        {},
        entry(name=3),
        entry(name=""),
        entry(address="nowhere"),
        entry(address="127.0.0.1:99999"),
        entry(address=None),
        entry(group="x"),
        entry(weight="heavy"),
        entry(weight=float("nan")),
        entry(since_ms=-1),
        entry(status=[]),
    ]
    response = parse_registry_response(
        {"index": 5, "snapshot": True, "endpoints": [*junk, entry(since_ms=2, group=3)]}
    )
    assert [each.endpoint.server for each in response.endpoints] == ["s-1"]
    line = response.endpoints[0]
    assert (response.version, response.complete, line.address) == (5, True, ("127.0.0.1", 9))
    assert (line.endpoint.started_at, line.endpoint.cell, line.endpoint.zone) == (2000, 3, "a")
    assert (
        parse_registry_response({"index": 5, "endpoints": [entry()]}).endpoints[0].endpoint.started_at is None
    )


@pytest.mark.parametrize(
    ("status", "state"),
    [
        ("active", ServerState.READY),
        ("leaving", ServerState.DRAINING),
        ("left", ServerState.REMOVED),
        ("resting", ServerState.DRAINING),
    ],
)
def test_unknown_status_counts_as_draining(status: str, state: ServerState) -> None:
    response = parse_registry_response({"index": 5, "snapshot": False, "endpoints": [entry(status=status)]})
    assert response.endpoints[0].endpoint.state is state


def test_new_server_at_the_address_of_a_former_one_supersedes_it() -> None:
    # The list may name the former one for seconds yet: what is sent to it would go to the new process, which
    # is cold, over connections that no process holds any more.
    async def scene() -> None:
        async with world(served) as w:
            assert (await w.ask())[0] == 200
            old = w.servers[0]
            new = old.entry(name="s-new", since_ms=1_000)
            w.discovery.say(42, [new])
            await until(lambda: list(w.sidecar._balancer._context.registry.servers) == ["s-new"])
            await until(lambda: old.closed == 1)
            w.discovery.say(43, [new, old.entry()], snapshot=True)
            await until(lambda: len(w.discovery.targets) == 3)
            assert (
                list(w.sidecar._balancer._context.registry.servers)
                == list(w.sidecar._pool.servers)
                == ["s-new"]
            )
            assert (await w.ask())[0] == 200
            assert len(old.writers) == 2

    play(scene())


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_draining_server_is_reported_even_without_its_address(status: str) -> None:
    # Guards rule 3: skipped as junk, the entry would leave the server in use.
    async def scene() -> None:
        async with world(served) as w:
            w.discovery.say(42, [w.servers[0].entry(status=status, address=None)])
            servers = w.sidecar._balancer._context.registry.servers
            await until(lambda: "s-0" not in servers or servers["s-0"].state is ServerState.DRAINING)
            assert (await w.ask())[0] == 503
            assert not w.sent()

    play(scene())


def test_registry_that_does_not_hold_watches_is_polled_with_a_pause() -> None:
    async def scene() -> None:
        async with world(served) as w:
            for _ in range(4):
                w.discovery.say(41, [])
            await until(lambda: len(w.discovery.called_after_s) == 4)
            assert min(w.discovery.called_after_s) >= 0.09

    play_in_virtual_time(scene())


def test_response_without_changes_compares_no_addresses(monkeypatch: pytest.MonkeyPatch) -> None:
    looks: list[int] = []
    remove_superseded = ConnectionPool.remove_superseded

    def counted(self: ConnectionPool) -> list[str]:
        looks.append(1)
        return remove_superseded(self)

    monkeypatch.setattr(ConnectionPool, "remove_superseded", counted)

    async def scene() -> None:
        async with world(lambda *_: answer()) as w:
            before = len(looks)
            w.discovery.say(42, [])
            await until(lambda: w.sidecar._endpoint_list.client._version == 42)
            assert len(looks) == before
            w.discovery.say(43, [w.servers[0].entry(status="leaving")])
            await until(lambda: w.sidecar._endpoint_list.client._version == 43)
            assert len(looks) == before + 1

    play(scene())
