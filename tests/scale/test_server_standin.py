"""The server stand-in and the load client, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Any

import pytest
from polling import wait_until

from scale.histogram import LatencyHistogram
from scale.http1 import MessageReader, format_request, format_response
from scale.http_client import NO_RESPONSE, CallResult, HttpClient, format_call
from scale.open_loop import poisson_arrivals, run_open_loop
from scale.standins.server import ServedBody, ServerMode, ServerStandin, exponential_service_times

TIMEOUT_S = 20.0
CALL = format_call("read", "0000000000000001", 2.0)


@asynccontextmanager
async def running_server(service_s: float = 0.0) -> AsyncIterator[tuple[ServerStandin, HttpClient]]:
    server = ServerStandin("s-0", lambda: service_s)
    await server.start()
    client = HttpClient(server.address)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield server, client
    finally:
        client.close()
        server.kill()


async def call(client: HttpClient, request: bytes = CALL, timeout_s: float = TIMEOUT_S) -> CallResult:
    return await client.call(request, 0.0, timeout_s)


def run_scenario(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(scenario())


def test_messages_are_parsed_from_any_fragments() -> None:
    written = format_request("POST", "/api/7", {"X-Call-Id": "a"}, b"body") + format_response(
        HTTPStatus.OK, {}, b""
    )
    reader = MessageReader()
    read = [message for byte in written for message in reader.feed(bytes([byte]))]
    assert (read[0].target, read[0].headers["x-call-id"], read[0].body) == ("/api/7", "a", b"body")
    assert read[1].status == 200
    assert read[1].body == b""


def test_connection_is_reused_and_its_calls_are_counted() -> None:
    async def scenario() -> None:
        async with running_server() as (server, client):
            bodies = [ServedBody.decode((await call(client)).body) for _ in range(3)]
            assert [each.connection_request_number for each in bodies] == [1, 2, 3]
            assert {each.server for each in bodies} == {"s-0"}
            assert server.counters.connections == 1
            assert server.counters.served == 3

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("mode", "status", "counter"),
    [(ServerMode.ERROR, 500, "errors"), (ServerMode.REJECT, 503, "rejected")],
)
def test_mode_decides_the_response(mode: ServerMode, status: int, counter: str) -> None:
    async def scenario() -> None:
        async with running_server() as (server, client):
            server.mode = mode
            assert (await call(client)).status == status
            assert getattr(server.counters, counter) == 1
            assert server.counters.served == 0

    run_scenario(scenario)


def test_draining_server_serves_requests_in_flight_and_rejects_new_ones() -> None:
    async def scenario() -> None:
        async with running_server(service_s=0.05) as (server, client):
            in_flight = asyncio.create_task(call(client))
            await wait_until(lambda: server.counters.requests == 1)
            server.drain()
            assert (await call(client)).status == 503
            assert (await in_flight).status == 200
            assert (server.counters.rejected, server.counters.served) == (1, 1)

    run_scenario(scenario)


def test_hanging_server_keeps_the_connection_and_counts_the_abandoned_call() -> None:
    async def scenario() -> None:
        async with running_server() as (server, client):
            server.mode = ServerMode.HANG
            in_flight = asyncio.create_task(call(client))
            await wait_until(lambda: server.counters.hung == 1)
            in_flight.cancel()
            await wait_until(lambda: server.counters.abandoned == 1)
            assert (await call(client, timeout_s=0.01)).status == NO_RESPONSE

    run_scenario(scenario)


def test_killed_server_resets_its_connections_and_refuses_new_ones() -> None:
    async def scenario() -> None:
        async with running_server(service_s=TIMEOUT_S) as (server, client):
            in_flight = asyncio.create_task(call(client))
            await wait_until(lambda: server.counters.requests == 1)
            server.kill()
            assert (await in_flight).status == NO_RESPONSE
            assert (await call(client)).status == NO_RESPONSE
            assert server.counters.requests == 1

    run_scenario(scenario)


def test_probe_is_served_only_where_probes_are_allowed() -> None:
    probe = format_request("GET", "/health/live", {"Host": "s"})

    async def scenario() -> None:
        async with running_server() as (server, client):
            assert (await call(client, probe)).status == 404
            server.allow_probes = True
            assert (await call(client, probe)).status == 200
            server.drain()
            assert (await call(client, probe)).status == 503
            assert server.counters.probes == 2
            assert server.counters.requests == 0

    run_scenario(scenario)


def test_request_over_a_busy_connection_breaks_the_protocol() -> None:
    async def scenario() -> None:
        async with running_server(service_s=TIMEOUT_S) as (server, client):
            assert (await call(client, CALL + CALL)).status == NO_RESPONSE
            assert server.counters.overlapping == 1

    run_scenario(scenario)


def test_service_times_and_arrivals_repeat_for_a_seed() -> None:
    first, second = exponential_service_times(0.01, 5), exponential_service_times(0.01, 5)
    assert [first() for _ in range(5)] == [second() for _ in range(5)]
    arrivals = poisson_arrivals(100.0, 2.0, 5)
    assert arrivals == poisson_arrivals(100.0, 2.0, 5) == sorted(arrivals)
    assert arrivals[0] >= 0.0
    assert arrivals[-1] <= 2.0
    assert arrivals != poisson_arrivals(100.0, 2.0, 6)


def test_open_loop_waits_for_no_response() -> None:
    started: list[int] = []

    async def scenario() -> None:
        last_started = asyncio.Event()

        async def make_call(number: int, scheduled_at: float) -> CallResult:
            started.append(number)
            if number == 2:
                last_started.set()
            await last_started.wait()  # the first call ends only once the last has started
            return CallResult(scheduled_at, scheduled_at, scheduled_at, 200, b"")

        async with asyncio.timeout(TIMEOUT_S):
            results = await run_open_loop([0.0, 0.0, 0.001], make_call)
        assert started == [0, 1, 2]
        assert len(results) == 3

    run_scenario(scenario)


def test_histogram_gives_quantiles_to_three_digits() -> None:
    histogram = LatencyHistogram(range(1, 1001))
    assert histogram.count == 1000
    assert histogram.percentile(50) == pytest.approx(500, rel=0.01)
    assert histogram.percentile(99) == pytest.approx(990, rel=0.01)
