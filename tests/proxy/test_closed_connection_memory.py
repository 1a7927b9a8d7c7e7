"""What a connection has received is freed when nothing more is parsed on it, not by a later collection."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from collections.abc import Iterator

import pytest
from proxy_harness import (
    FakeServer,
    ProxyHarness,
    encode_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.proxy import request_reader
from sidecar.proxy.http_messages import Response
from sidecar.proxy.server_connection import connect

CONNECTIONS = 20
DATA_BYTES = 60_000  # sent on each connection; one read holds them
MAX_KEPT_BYTES = 16 * 1024  # of each connection, until a collection frees the rest
UNSOUND = b"x" * DATA_BYTES + b"\r\n\r\n"
UNFINISHED_HEAD = request("pay").removesuffix(b"\r\n\r\n") + b"\r\nX-Long: " + b"x" * DATA_BYTES
UNFINISHED_BODY = request("pay", body=bytes(DATA_BYTES))[:-1]
COMPLETE = request("pay", body=bytes(DATA_BYTES), budget="500")


@pytest.fixture(autouse=True)
def _without_collections() -> Iterator[None]:
    """Measure allocations, and turn off the collection of reference cycles."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


async def send_and_leave(proxy: ProxyHarness, data: bytes) -> None:
    """Send data on a new connection, and close it once the proxy has read that data."""
    frontend = proxy.sidecar.frontend
    _, writer = await proxy.connect()
    writer.write(data)
    await writer.drain()
    await wait_until(lambda: any(each.has_partial_request() for each in frontend.connections))
    writer.close()
    await wait_until(frontend.has_no_connections)


async def send_and_be_rejected(proxy: ProxyHarness, data: bytes) -> None:
    """Send data on a new connection, and read until the proxy closes it."""
    reader, writer = await proxy.connect()
    writer.write(data)
    await reader.read()
    writer.close()
    await wait_until(proxy.sidecar.frontend.has_no_connections)


# Guards against going over the limit of memory while peers send much, leave and come back (review/9).
@pytest.mark.parametrize("data", [UNSOUND, UNFINISHED_HEAD, UNFINISHED_BODY], ids=["unsound", "head", "body"])
def test_closed_client_connection_keeps_no_received_data(data: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            send = send_and_be_rejected if data is UNSOUND else send_and_leave
            await send(proxy, data)  # what is allocated only once does not count
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(CONNECTIONS):
                await send(proxy, data)
            after, _ = tracemalloc.get_traced_memory()
            assert after - before < CONNECTIONS * MAX_KEPT_BYTES

    run_scenario(scenario())


# Guards against keeping what a peer has sent for as long as its error is being delivered.
def test_rejected_connection_that_stays_open_keeps_no_received_data() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            before, _ = tracemalloc.get_traced_memory()
            writers = []
            for _ in range(CONNECTIONS):
                reader, writer = await proxy.connect()
                writer.write(UNSOUND)
                await reader.readline()
                writers.append(writer)
            after, _ = tracemalloc.get_traced_memory()
            # Both ends of each connection are in this process.
            assert after - before < CONNECTIONS * 2 * MAX_KEPT_BYTES
            for writer in writers:
                writer.close()

    run_scenario(scenario())


# Guards against the same with responses that servers break off.
def test_closed_server_connection_keeps_no_received_data() -> None:
    unfinished = encode_response(200, bytes(DATA_BYTES))[:-1]

    async def receive_part(server: FakeServer) -> None:
        connection = await connect(server.address, DATA_BYTES)
        responses: list[Response | None] = []
        connection.request(request(), responses.append)
        await wait_until(
            lambda: connection._response_reader is not None and connection._response_reader.has_begun()
        )
        connection.abort()
        await wait_until(lambda: responses)
        kept.append(connection)

    kept: list[object] = []

    async def scenario() -> None:
        server = FakeServer("s-0", lambda *_: unfinished)
        await server.start()
        await receive_part(server)
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(CONNECTIONS):
            await receive_part(server)
        await asyncio.sleep(0)
        after, _ = tracemalloc.get_traced_memory()
        assert after - before < CONNECTIONS * 2 * MAX_KEPT_BYTES
        server.stop()

    run_scenario(scenario())


# Guards against idle connections to servers that each keep the latest request (issue 39).
def test_answered_request_is_not_kept_by_the_connection_to_its_server() -> None:
    bodies = tracemalloc.Filter(True, request_reader.__file__)

    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            sent = (
                proxy.send_request(kind="pay", body=bytes(DATA_BYTES), budget="500")
                for _ in range(CONNECTIONS)
            )
            assert all(status == 200 for status, _, _ in await asyncio.gather(*sent))
            await wait_until(proxy.sidecar.frontend.has_no_connections)
            kept = tracemalloc.take_snapshot().filter_traces([bodies]).statistics("filename")
            assert sum(each.size for each in kept) < CONNECTIONS * MAX_KEPT_BYTES

    run_scenario(scenario())
