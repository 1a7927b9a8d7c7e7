"""Discovery over loopback, and how its updates reach the balancer and the connection pool."""

from __future__ import annotations

from typing import Any

import pytest
from balancer_harness import SECOND_US
from proxy_harness import FakeDiscovery, encode_response, respond_ok, run_scenario, running_proxy, wait_until
from virtual_time import run_in_virtual_time

from sidecar.balancer.events import ServerState
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery_client import _EMPTY_RESPONSE_PAUSE_S, DiscoveryClient
from sidecar.proxy.registry_messages import RegistryResponse, parse_registry_response


def entry(name: Any = "s-1", **changes: Any) -> dict[str, Any]:
    fields = {"name": name, "address": "127.0.0.1:9", "zone": "a", "type": "m", "group": 1}
    return fields | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


def test_watch_continues_from_the_cached_list_and_repeats_at_once() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            for index in (42, 43, 44):
                proxy.discovery.push_update(index, [])
            await wait_until(lambda: len(proxy.discovery.targets) == 4)
            paths = [each.split("&")[0] for each in proxy.discovery.targets]
            assert paths == [f"/registry/instances?after={index}" for index in (41, 42, 43, 44)]
            assert _EMPTY_RESPONSE_PAUSE_S < 0.2  # the only pause between the calls of a watch

    run_scenario(scenario())


def test_deltas_and_snapshots_reach_the_balancer() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok) as proxy:
            states = proxy.sidecar._balancer._context.registry.servers
            first, second = proxy.servers
            proxy.discovery.push_update(42, [first.entry(status="leaving")])
            await wait_until(lambda: states["s-0"].state is ServerState.DRAINING)
            for _ in range(10):
                assert (await proxy.send_request())[0] == 200
            assert not first.requests
            proxy.discovery.push_update(43, [first.entry()], snapshot=True)  # a missing server is removed
            await wait_until(lambda: "s-1" not in states)
            assert set(proxy.sidecar._pool.servers) == {"s-0"}
            seen = len(second.requests)
            for _ in range(10):
                assert (await proxy.send_request())[0] == 200
            assert len(second.requests) == seen

    run_scenario(scenario())


def test_restarted_server_is_in_slow_start() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            server = proxy.sidecar._balancer._context.registry.servers["s-0"]
            since_ms = proxy.sidecar._clock.now() // 1000
            proxy.discovery.push_update(42, [proxy.servers[0].entry(since_ms=since_ms)])
            await wait_until(lambda: server.started_at == since_ms * 1000)
            assert proxy.sidecar._balancer._slow_start.is_warming_up(server)

    run_scenario(scenario())


@pytest.mark.parametrize(
    "bad_response",
    [
        encode_response(503, b""),
        encode_response(200, b"not json"),
        encode_response(200, b'{"index": "x", "endpoints": []}'),
        encode_response(200, b"[]"),
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{",
    ],
)
def test_failed_registry_call_is_reported_and_retried(bad_response: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, rules={"max_poll_interval_us": 1 * SECOND_US}) as proxy:
            proxy.discovery.responses.put_nowait(bad_response)
            await wait_until(lambda: len(proxy.discovery.targets) == 2)
            assert proxy.sidecar._balancer._registry_poller.consecutive_failures == 1
            assert (await proxy.send_request())[0] == 200

    run_scenario(scenario())


def test_call_to_an_unavailable_registry_is_reported_as_failed() -> None:
    async def scenario() -> None:
        responses: list[RegistryResponse | None] = []
        stopped = FakeDiscovery()
        await stopped.start()
        stopped.stop()
        client = DiscoveryClient(stopped.address, 1, responses.append)
        client.start_watch()
        await wait_until(lambda: responses == [None])
        await wait_until(lambda: client._watch is None or client._watch.done())
        client.start_watch()  # a new watch is allowed
        await wait_until(lambda: responses == [None, None])

    run_scenario(scenario())


def test_watch_is_not_started_twice_and_can_be_stopped() -> None:
    async def scenario() -> None:
        discovery = FakeDiscovery()
        await discovery.start()
        responses: list[RegistryResponse | None] = []
        client = DiscoveryClient(discovery.address, 1, responses.append)
        for _ in range(3):
            client.start_watch()
        await wait_until(lambda: discovery.targets)
        client.fetch()
        await wait_until(lambda: len(discovery.targets) == 2)
        assert discovery.targets[1] == "/registry/instances"
        discovery.push_update(7, [entry()], snapshot=True)
        await wait_until(lambda: responses)
        client.stop_watch()
        assert client._watch is None
        discovery.stop()

    run_scenario(scenario())


def test_silent_watch_is_reopened_before_the_former_call_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a moment without a call in flight, and against a pause before the next call: the sidecar
    # would count as notified of drains that it has not received.  The balancer's next poll is too late here.
    monkeypatch.setattr("sidecar.proxy.discovery_client._WATCH_WAIT_MS", (20, 20))
    monkeypatch.setattr("sidecar.proxy.discovery_client._WATCH_MARGIN_S", 0.02)

    async def scenario() -> None:
        async with running_proxy(respond_ok, rules={"max_poll_interval_us": 600 * SECOND_US}) as proxy:
            server = proxy.sidecar._balancer._context.registry.servers["s-0"]

            def push_drain_and_check() -> bool:
                # This answers whichever call is in flight.
                proxy.discovery.push_update(42, [proxy.servers[0].entry(status="leaving")])
                return server.state is ServerState.DRAINING

            proxy.discovery.responses.put_nowait(None)
            await wait_until(lambda: "closed 1" in proxy.discovery.call_log)
            await wait_until(push_drain_and_check)
            assert proxy.discovery.call_log[:2] == ["call 1", "call 2"]

    run_scenario(scenario())


def test_watch_of_pushed_lists_is_retried_without_the_balancer() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, discovery="pushed") as proxy:
            proxy.discovery.responses.put_nowait(encode_response(503, b""))
            proxy.discovery.push_update(42, [proxy.servers[0].entry(status="leaving")])
            await wait_until(
                lambda: proxy.sidecar._balancer._context.registry.servers["s-0"].state is ServerState.DRAINING
            )

    run_scenario(scenario())


def test_invalid_entries_of_a_list_are_skipped() -> None:
    invalid_entries: list[Any] = [
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
        {"index": 5, "snapshot": True, "endpoints": [*invalid_entries, entry(since_ms=2, group=3)]}
    )
    assert [each.endpoint.name for each in response.endpoints] == ["s-1"]
    valid = response.endpoints[0]
    assert (response.version, response.is_complete, valid.address) == (5, True, ("127.0.0.1", 9))
    assert (valid.endpoint.started_at, valid.endpoint.cell, valid.endpoint.zone) == (2000, 3, "a")
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
    # The list may contain the former server for some more seconds.  Requests to it would reach the new
    # process, which is in slow start, and would use connections that no process holds any more.
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            assert (await proxy.send_request())[0] == 200
            old = proxy.servers[0]
            new = old.entry(name="s-new", since_ms=1_000)
            proxy.discovery.push_update(42, [new])
            await wait_until(lambda: list(proxy.sidecar._balancer._context.registry.servers) == ["s-new"])
            await wait_until(lambda: old.closed_by_peer == 1)
            proxy.discovery.push_update(43, [new, old.entry()], snapshot=True)
            await wait_until(lambda: len(proxy.discovery.targets) == 3)
            assert (
                list(proxy.sidecar._balancer._context.registry.servers)
                == list(proxy.sidecar._pool.servers)
                == ["s-new"]
            )
            assert (await proxy.send_request())[0] == 200
            assert len(old.writers) == 2

    run_scenario(scenario())


@pytest.mark.parametrize("status", ["leaving", "left"])
def test_draining_server_is_reported_even_without_its_address(status: str) -> None:
    # Guards against skipping the entry as invalid, which would leave the draining server in use.
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            proxy.discovery.push_update(42, [proxy.servers[0].entry(status=status, address=None)])
            servers = proxy.sidecar._balancer._context.registry.servers
            await wait_until(lambda: "s-0" not in servers or servers["s-0"].state is ServerState.DRAINING)
            assert (await proxy.send_request())[0] == 503
            assert not proxy.server_requests()

    run_scenario(scenario())


def test_registry_that_does_not_hold_watches_is_polled_with_a_pause() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            for _ in range(4):
                proxy.discovery.push_update(41, [])
            await wait_until(lambda: len(proxy.discovery.call_delays_s) == 4)
            assert min(proxy.discovery.call_delays_s) >= 0.09

    run_in_virtual_time(scenario())


def test_response_without_changes_compares_no_addresses(monkeypatch: pytest.MonkeyPatch) -> None:
    comparisons: list[int] = []
    remove_superseded = ConnectionPool.remove_superseded

    def count_and_remove(self: ConnectionPool) -> list[str]:
        comparisons.append(1)
        return remove_superseded(self)

    monkeypatch.setattr(ConnectionPool, "remove_superseded", count_and_remove)

    async def scenario() -> None:
        async with running_proxy(lambda *_: encode_response()) as proxy:
            before = len(comparisons)
            proxy.discovery.push_update(42, [])
            await wait_until(lambda: proxy.sidecar._endpoint_list.client._version == 42)
            assert len(comparisons) == before
            proxy.discovery.push_update(43, [proxy.servers[0].entry(status="leaving")])
            await wait_until(lambda: proxy.sidecar._endpoint_list.client._version == 43)
            assert len(comparisons) == before + 1

    run_scenario(scenario())
