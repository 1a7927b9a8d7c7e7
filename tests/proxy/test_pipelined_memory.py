"""Data pipelined behind a request in flight is read only as far as it may be buffered; none is dropped."""

from __future__ import annotations

import asyncio

import pytest
from proxy_harness import (
    Headers,
    ProxyHarness,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.proxy.memory_layout import MIB, MemoryLayout
from sidecar.proxy.pause_reason import PauseReason

PIPELINED_BODY_BYTES = 40_000  # two of these are more than a connection buffers
SMALL_POOL_BYTES = 10_000


def hold_first(_line: str, _headers: Headers, body: bytes) -> bytes | None:
    return None if body == b"held" else respond_ok()


async def send_pipeline(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request that its server holds, and two behind it; return once the rest is not read on."""
    reader, writer = await proxy.connect()
    writer.write(request("pay", body=b"held", budget="500", X_Call_Id="first"))
    await wait_until(proxy.server_requests)
    for name in ("second", "third"):
        writer.write(request("pay", body=bytes(PIPELINED_BODY_BYTES), budget="500", X_Call_Id=name))
    (connection,) = proxy.sidecar.frontend.connections
    await wait_until(lambda: PauseReason.BACKLOG in connection._pause_reasons)
    return reader, writer


def limit_pool(monkeypatch: pytest.MonkeyPatch, pool_bytes: int | None) -> None:
    if pool_bytes is not None:
        layout = MemoryLayout(max_connections=96, pool_bytes=pool_bytes, max_match_bytes=MIB)
        monkeypatch.setattr(MemoryLayout, "divide", lambda *_: layout)


# Guards against complete requests that are read and dropped behind one in flight (issue 39).
def test_requests_beyond_the_buffer_of_a_connection_are_answered_in_order() -> None:
    async def scenario() -> None:
        async with running_proxy(hold_first) as proxy:
            reader, writer = await send_pipeline(proxy)
            proxy.servers[0].writers[0].write(respond_ok())
            assert [(await read_response(reader))[0] for _ in range(3)] == [200, 200, 200]
            ids = [headers["x-call-id"] for _, headers, _ in proxy.server_requests()]
            assert ids == ["first", "second", "third"]
            writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("pool_bytes", [None, SMALL_POOL_BYTES])
def test_client_that_leaves_while_its_pipeline_is_unread_is_noticed(
    pool_bytes: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit_pool(monkeypatch, pool_bytes)

    async def scenario() -> None:
        async with running_proxy(hold_first) as proxy:
            _, writer = await send_pipeline(proxy)
            writer.close()
            await wait_until(lambda: not proxy.sidecar._active)
            await wait_until(proxy.sidecar.frontend.has_no_connections)
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


# Guards against a pipeline that takes more memory than there is for all connections.
def test_pipeline_is_read_no_further_than_the_pool_allows(monkeypatch: pytest.MonkeyPatch) -> None:
    limit_pool(monkeypatch, SMALL_POOL_BYTES)

    async def scenario() -> None:
        async with running_proxy(hold_first) as proxy:
            reader, writer = await send_pipeline(proxy)
            assert proxy.sidecar._memory._budget.used_bytes <= SMALL_POOL_BYTES
            proxy.servers[0].writers[0].write(respond_ok())
            statuses = [(await read_response(reader))[0] for _ in range(2)]
            assert statuses[0] == 200
            assert statuses[1] in (200, 503)  # a request that never fits is rejected
            writer.close()

    run_scenario(scenario())
