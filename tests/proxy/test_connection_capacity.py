"""The limit on client connections, and which ones are closed so that others can be accepted."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

import pytest
from proxy_harness import (
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_for_eof,
    wait_until,
)

from sidecar.proxy.addresses import Address
from sidecar.proxy.memory_layout import MIB, MemoryLayout


def test_connections_beyond_the_capacity_replace_idle_ones() -> None:
    # Guards against exceeding the descriptor limit; of 66 sockets, one is left for clients.
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=66) as proxy:
            first, writer = await proxy.connect()
            writer.write(request())
            assert (await read_response(first))[0] == 200
            for _ in range(3):
                assert (await proxy.send_request())[0] == 200
            assert await wait_for_eof(first)
            writer.close()

    run_scenario(scenario())


def test_silent_clients_do_not_use_up_the_capacity() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=80) as proxy:
            address = proxy.sidecar.frontend.address
            silent = [await asyncio.open_connection(*address) for _ in range(200)]
            for number in range(20):
                assert (await proxy.send_request(X_Call_Id=f"{number}"))[0] == 200
            assert len(proxy.sidecar.frontend.connections) <= 16
            for _, writer in silent:
                writer.close()

    run_scenario(scenario())


def test_idle_connections_leave_capacity_for_others() -> None:
    # Guards clients with few connections against idle connections that take up the whole capacity.
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=88) as proxy:
            readers = []
            for number in range(8):
                reader, writer = await proxy.connect()
                writer.write(request(X_Call_Id=f"{number}"))
                assert (await read_response(reader))[0] == 200
                readers.append((reader, writer))
            assert len(proxy.sidecar.frontend.connections) <= 4  # a third of the twelve allowed
            assert await wait_for_eof(readers[0][0])
            for _, writer in readers:
                writer.close()

    run_scenario(scenario())


def test_connections_are_evicted_only_for_a_pending_one() -> None:
    # Guards against closing new connections because the table is full, although no further one is pending.
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=80) as proxy:
            frontend = proxy.sidecar.frontend
            assert frontend.table.capacity == 8
            await wait_until(lambda: frontend._accepting)
            frontend._pause_accepting()
            clients = [socket.create_connection(frontend.address) for _ in range(8)]
            assert frontend._accept()
            await wait_until(lambda: len(frontend.connections) == 8)
            assert frontend._accept()
            for index, sock in enumerate(clients):
                sock.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=sock)
                writer.write(request(X_Call_Id=f"{index}"))
                assert (await read_response(reader))[0] == 200
                writer.close()

    run_scenario(scenario())


def test_evictions_hold_no_more_descriptors_than_the_table() -> None:
    # An evicted connection holds its descriptor until the next iteration of the event loop.
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=256) as proxy:
            frontend = proxy.sidecar.frontend
            await wait_until(lambda: frontend._accepting)
            clients = [socket.create_connection(frontend.address) for _ in range(frontend.table.capacity)]
            await wait_until(lambda: len(frontend.connections) == frontend.table.capacity)
            clients += [socket.create_connection(frontend.address) for _ in range(40)]
            descriptor_counts = []
            accept = frontend._accept

            def accept_and_count(max_accepted: int = 64) -> bool:
                is_queue_empty = accept(max_accepted)
                descriptor_counts.append(len(os.listdir("/proc/self/fd")))
                return is_queue_empty

            descriptors_before = len(os.listdir("/proc/self/fd"))
            frontend._pause_accepting()
            frontend._accept = accept_and_count  # type: ignore[method-assign]  # counts descriptors at each call
            frontend._resume_accepting()
            former = set(frontend.connections)
            await wait_until(lambda: len(set(frontend.connections) - former) == 40)
            assert max(descriptor_counts) <= descriptors_before + 1
            for each in clients:
                each.close()

    run_scenario(scenario())


@pytest.mark.parametrize("loop_iterations", range(6))
def test_connection_being_set_up_counts_once(loop_iterations: int) -> None:
    # Guards against counting a connection twice for a few iterations of the event loop, which would evict
    # other new connections.
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=80) as proxy:
            frontend = proxy.sidecar.frontend
            assert frontend.table.capacity == 8
            await wait_until(lambda: frontend._accepting)
            frontend._pause_accepting()
            clients = []
            for count in (5, 3):
                for _ in range(count):
                    sock = socket.create_connection(frontend.address)
                    sock.setblocking(False)
                    clients.append(sock)
                assert frontend._accept()
                for _ in range(loop_iterations):
                    await asyncio.sleep(0)
            for index, sock in enumerate(clients):
                reader, writer = await asyncio.open_connection(sock=sock)
                writer.write(request(X_Call_Id=f"{index}"))
                assert (await read_response(reader))[0] == 200
                writer.close()

    run_scenario(scenario())


# Guards ordinary clients, whose idle connections were closed while bad peers kept theirs (issue 39).
@pytest.mark.parametrize(
    "bad_data", [b"", b"GET /api/1 HTTP/1.1\r\n", request("pay", body=bytes(60_000))[:-1]]
)
def test_idle_connection_outlives_bad_peers_that_fill_the_table(
    bad_data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    layout = MemoryLayout(max_connections=24, pool_bytes=100_000, max_match_bytes=MIB)
    monkeypatch.setattr(MemoryLayout, "divide", lambda *_: layout)

    async def bad_peer(address: Address) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(bad_data)
                await reader.read()
                writer.close()

    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            address = proxy.sidecar.frontend.address
            reader, writer = await proxy.connect()
            writer.write(request(X_Call_Id="first"))
            assert (await read_response(reader))[0] == 200
            peers = [asyncio.create_task(bad_peer(address)) for _ in range(36)]
            for number in range(10):
                assert (await proxy.send_request(X_Call_Id=f"{number}"))[0] == 200
            writer.write(request(X_Call_Id="second"))
            assert (await read_response(reader))[0] == 200
            for each in peers:
                each.cancel()
            await asyncio.gather(*peers, return_exceptions=True)
            writer.close()

    run_scenario(scenario())
