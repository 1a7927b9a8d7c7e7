"""The registry stand-in follows the protocol of the registry."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from polling import wait_until

from scale.http_client import Address
from scale.standins.change_log import ChangeLog, Endpoint, EndpointStatus
from scale.standins.fleet import make_endpoints
from scale.standins.registry import RegistryServer
from scale.standins.registry_state import Availability
from sidecar.proxy.registry_messages import parse_registry_response

TIMEOUT_S = 20.0
ENDPOINTS = [Endpoint("s-1", "10.0.0.1:80", "a"), Endpoint("s-2", "10.0.0.2:80", "b", weight=2.0)]


@contextlib.asynccontextmanager
async def running_registry(
    log: ChangeLog, listeners: int = 1
) -> AsyncIterator[tuple[RegistryServer, list[Address]]]:
    server = RegistryServer(log)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield server, await server.start(listeners)
    finally:
        await server.stop()


async def send(address: Address, text: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(text.encode())
    return reader, writer


def format_call(query: str = "", close: bool = True) -> str:
    connection = "Connection: close\r\n" if close else ""
    return f"GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\n{connection}\r\n"


async def read_response(reader: asyncio.StreamReader) -> tuple[int, Any]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
    body = await reader.readexactly(length)
    return int(head.split(" ")[1]), json.loads(body) if body else None


async def send_call(address: Address, query: str = "") -> tuple[int, Any]:
    reader, writer = await send(address, format_call(query))
    try:
        response = await read_response(reader)
        assert await reader.read() == b""  # closed, as requested
        return response
    finally:
        writer.close()


async def wait_until_watching(server: RegistryServer, count: int) -> None:
    await wait_until(lambda: server.counters.watching == count)


def names(payload: Any) -> list[str]:
    return [each["name"] for each in payload["endpoints"]]


async def check_snapshot_and_delta() -> None:
    log = ChangeLog(ENDPOINTS)
    async with running_registry(log) as (server, [address]):
        status, payload = await send_call(address)
        assert (status, payload["index"], payload["snapshot"], names(payload)) == (
            200,
            1,
            True,
            ["s-1", "s-2"],
        )
        parsed = parse_registry_response(payload)
        assert [(each.endpoint.zone, each.endpoint.capacity_weight) for each in parsed.endpoints] == [
            ("a", 1.0),
            ("b", 2.0),
        ]

        log.drain(["s-1"])
        log.remove(["s-1"])
        log.restart(["s-2"], since_ms=7)
        _, payload = await send_call(address, "?after=1&wait_ms=60000")
        assert (payload["index"], payload["snapshot"], sorted(names(payload))) == (4, False, ["s-1", "s-2"])
        by_name = {each["name"]: each for each in payload["endpoints"]}
        assert by_name["s-1"]["status"] == "left"
        assert by_name["s-2"]["since_ms"] == 7
        assert (await send_call(address))[1]["endpoints"] == [by_name["s-2"]]
        counts = server.counters
        assert (counts.calls, counts.connections, counts.snapshots, counts.deltas) == (3, 3, 2, 1)
        assert counts.bytes_out > counts.bytes_in > 0


def test_snapshot_and_delta_follow_the_protocol() -> None:
    asyncio.run(check_snapshot_and_delta())


async def check_watch() -> None:
    log = ChangeLog(ENDPOINTS)
    async with running_registry(log) as (server, [address]):
        watch = asyncio.create_task(send_call(address, "?after=1&wait_ms=60000"))
        await wait_until_watching(server, 1)
        log.add(Endpoint("s-3", "10.0.0.3:80"))
        status, payload = await watch
        assert (status, payload["index"], names(payload)) == (200, 2, ["s-3"])
        status, payload = await send_call(address, "?after=2&wait_ms=1")  # no change: the watch times out
        assert (status, payload) == (200, {"index": 2, "snapshot": False, "endpoints": []})
        assert (server.counters.empty, server.counters.watching) == (1, 0)


def test_watch_waits_for_a_change_or_its_timeout() -> None:
    asyncio.run(check_watch())


def test_change_log_without_the_changes_since_a_version_gives_a_snapshot() -> None:
    log = ChangeLog(ENDPOINTS, max_length=3)
    for since_ms in (1, 2, 3, 4):
        log.restart(["s-1"], since_ms)
    assert not log.delta_since(2).is_snapshot
    assert log.delta_since(1).is_snapshot
    assert log.delta_since(log.version + 1).is_snapshot  # a version of a registry that was rolled back
    log.commit(ENDPOINTS * 2)  # more than the log holds
    assert log.delta_since(log.version - 1).is_snapshot
    assert not log.delta_since(log.version).is_snapshot


def test_registry_without_its_change_log_sends_a_snapshot() -> None:
    log = ChangeLog(ENDPOINTS)
    log.drop_changes()
    assert log.delta_since(1).is_snapshot
    assert not log.delta_since(log.version).is_snapshot


def test_responses_are_serialized_once_per_version() -> None:
    log = ChangeLog(ENDPOINTS)
    assert log.snapshot() is log.snapshot()
    first = log.snapshot()
    log.restart(["s-1"], 1)
    assert log.delta_since(1) is log.delta_since(1)
    assert log.snapshot() is not first
    assert log.endpoint("s-1").status is EndpointStatus.ACTIVE


async def check_outage() -> None:
    async with running_registry(ChangeLog(ENDPOINTS)) as (server, [address]):
        watch = asyncio.create_task(send_call(address, "?after=1&wait_ms=60000"))
        await wait_until_watching(server, 1)
        server.set_availability(Availability.DOWN)
        assert (await watch)[0] == 503
        assert (await send_call(address))[0] == 503
        server.set_availability(Availability.UP)
        assert (await send_call(address))[0] == 200
        assert server.counters.unavailable == 2


def test_outage_completes_watches_and_fails_calls() -> None:
    asyncio.run(check_outage())


async def check_partition() -> None:
    async with running_registry(ChangeLog(ENDPOINTS), listeners=2) as (server, [first, second]):
        server.set_partitioned(1, True)
        reader, writer = await send(second, format_call())
        assert (await send_call(first))[0] == 200
        server.set_partitioned(1, False)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await read_response(reader)
        assert (await send_call(second))[0] == 200
        # The call during the partition was never read.
        assert (server.traffic(0).calls, server.traffic(1).calls) == (
            1,
            1,
        )
        writer.close()


def test_partitioned_listener_sends_nothing_until_the_partition_ends() -> None:
    asyncio.run(check_partition())


async def check_blackholed() -> None:
    log = ChangeLog(ENDPOINTS)
    async with running_registry(log) as (server, [address]):
        _, writer = await send(address, format_call("?after=1&wait_ms=60000"))
        await wait_until_watching(server, 1)
        server.blackhole_connections()
        log.restart(["s-1"], 5)
        assert (await send_call(address, "?after=1"))[1]["index"] == 2
        assert server.counters.deltas == 1  # the blackholed watch got no delta
        writer.close()


def test_blackholed_watch_gets_nothing_while_new_calls_are_served() -> None:
    asyncio.run(check_blackholed())


async def check_reused_connection() -> None:
    log = ChangeLog(make_endpoints(4_900, zones=18, seed=1))
    async with running_registry(log) as (server, [address]):
        reader, writer = await send(address, format_call(close=False) + format_call("?after=1", close=False))
        _, payload = await read_response(reader)
        assert len(set(names(payload))) == len({each["address"] for each in payload["endpoints"]}) == 4_900
        assert (await read_response(reader))[1]["endpoints"] == []
        assert (server.counters.connections, server.counters.calls) == (1, 2)
        writer.close()


def test_reused_connection_carries_calls_in_order() -> None:
    asyncio.run(check_reused_connection())


@pytest.mark.parametrize(
    ("text", "status"),
    [
        ("POST /registry/instances HTTP/1.1\r\nHost: d\r\n\r\n", 405),
        ("GET /registry HTTP/1.1\r\nHost: d\r\n\r\n", 404),
        ("GET /registry/instances HTTP/1.1\r\n\r\n", 400),
        ("GET /registry/instances HTTP/1.1\r\nHost: d\r\nContent-Length: 1\r\n\r\n", 400),
        ("nonsense\r\n\r\n", 400),
        (format_call("?after=x"), 400),
        (format_call("?wait_ms=5"), 400),
        (format_call("?after=1&wait_ms=-5"), 400),
        ("GET /" + "x" * 9_000, 431),
    ],
)
def test_malformed_and_unsupported_requests_are_rejected(text: str, status: int) -> None:
    async def check() -> None:
        async with running_registry(ChangeLog()) as (server, [address]):
            reader, writer = await send(address, text)
            assert (await read_response(reader))[0] == status
            assert server.counters.malformed == 1
            writer.close()

    asyncio.run(check())
