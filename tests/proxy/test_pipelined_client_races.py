"""A client pipelines more than the sidecar buffers, or disconnects, while its request is in flight."""

from __future__ import annotations

import asyncio

import pytest
from proxy_harness import (
    ProxyHarness,
    never_respond,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_for_eof,
    wait_until,
)


async def send_too_much(
    proxy: ProxyHarness, first_request: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request that its server does not answer, then pipeline more than the sidecar buffers."""
    reader, writer = await proxy.connect()
    writer.write(first_request)
    await wait_until(proxy.server_requests)
    pipelined = request("pay", body=bytes(60_000), X_Call_Id="ahead")
    writer.write(pipelined * 50)  # more than the kernel buffers
    return reader, writer


def test_client_that_pipelines_too_much_disconnects_while_its_request_is_in_flight() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            _, writer = await send_too_much(proxy, request("pay", body=b"held", budget="500"))
            writer.close()  # the FIN follows all the pipelined bytes
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)
            assert not proxy.sidecar._active
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


def test_client_that_pipelines_too_much_gets_its_response_and_a_close() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await send_too_much(proxy, request("pay", body=b"held", budget="500"))
            (connection,) = proxy.sidecar.frontend.connections
            await wait_until(lambda: connection._discarded_bytes)
            proxy.servers[0].writers[0].write(respond_ok())
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await wait_for_eof(reader)
            assert len(proxy.server_requests()) == 1
            writer.close()

    run_scenario(scenario())


def test_client_that_never_stops_sending_gets_its_response_and_a_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sidecar.proxy.client_connection._MAX_DISCARDED_BYTES", 1024 * 1024)

    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await send_too_much(proxy, request("pay", body=b"held", budget="500"))
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert await wait_for_eof(reader)
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)
            writer.close()

    run_scenario(scenario())
