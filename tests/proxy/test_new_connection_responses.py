"""A request on a new connection gets a response, also under overload and while draining."""

from __future__ import annotations

import asyncio
import socket

import pytest
from proxy_harness import (
    never_respond,
    read_response,
    request,
    respond_ok,
    running_proxy,
    wait_for_eof,
    wait_until,
)
from virtual_time import advance, now_s, run_in_virtual_time

from sidecar.proxy.connection_state import ConnectionState
from sidecar.proxy.connection_table import ConnectionTable
from sidecar.proxy.shutdown import _ACCEPT_DURATION_S

REQUESTS = {"small": request("pay", body=b"new"), "large": request("pay", body=bytes(64 * 1024))}


@pytest.mark.parametrize("in_pieces", [False, True], ids=["at once", "in pieces"])
@pytest.mark.parametrize("data", REQUESTS.values(), ids=REQUESTS)
def test_new_connection_is_rejected_with_a_response_under_overload(
    monkeypatch: pytest.MonkeyPatch, data: bytes, in_pieces: bool
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            monkeypatch.setattr(ConnectionTable, "is_overloaded", lambda _: True)
            reader, writer = await proxy.connect()
            if in_pieces:
                writer.write(data[:30])
                await advance(0.3)
                writer.write(data[30:])
            else:
                writer.write(data)
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (503, "close")
            assert await wait_for_eof(reader)
            assert not proxy.server_requests()
            writer.close()

    run_in_virtual_time(scenario())


# New connections arrive for 0.4 s after SIGTERM; the listener stays open for longer.
@pytest.mark.parametrize("connect_after_s", [0.0, 0.1, 0.3, 0.4, _ACCEPT_DURATION_S - 0.01])
@pytest.mark.parametrize("send_after_s", [0.0, 0.005, 0.1], ids=["at once", "a moment later", "later"])
def test_request_on_a_new_connection_while_draining_gets_a_response(
    connect_after_s: float, send_after_s: float
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            await advance(connect_after_s)
            reader, writer = await proxy.connect()
            await advance(send_after_s)
            writer.write(REQUESTS["small"])
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (200, "close")
            assert await wait_for_eof(reader)
            writer.close()

    run_in_virtual_time(scenario())


def test_connection_queued_as_the_listener_closes_gets_a_response() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            frontend = proxy.sidecar.frontend
            await wait_until(lambda: frontend._accepting)
            client = socket.create_connection(frontend.address)
            client.sendall(REQUESTS["small"])
            frontend.drain()
            # No event loop iteration has run since the connect, so nothing has been accepted yet.
            assert frontend.close_listener()
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (200, "close")
            writer.close()

    run_in_virtual_time(scenario())


def test_request_in_flight_to_the_end_of_a_drain_gets_a_response_before_sigkill() -> None:
    async def scenario() -> None:
        # The request arrives late, and its server hangs for longer than the drain may last.
        async with running_proxy(never_respond) as proxy:
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            started_at = now_s()
            await advance(0.4)
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"held", budget="500"))
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert now_s() < started_at + 3.0 + 0.7  # SIGKILL may follow then
            writer.close()

    run_in_virtual_time(scenario())


def test_no_connection_is_evicted_before_its_response_has_been_read() -> None:
    # Closing a socket with unread bytes resets the connection, and its client loses a response that it has
    # not read yet.
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=66) as proxy:  # room for one client
            frontend = proxy.sidecar.frontend
            too_large = request("pay", body=bytes(64 * 1024 + 1))
            client = socket.create_connection(frontend.address)
            client.sendall(too_large[:-1])
            await wait_until(lambda: frontend.table._by_state[ConnectionState.DELIVERING])
            client.sendall(too_large[-1:])  # no event loop iteration runs before the eviction
            assert not frontend.table.evict_one()
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            assert (await read_response(reader))[0] == 413
            await wait_until(frontend.table.evict_one)
            writer.close()

    run_in_virtual_time(scenario())
