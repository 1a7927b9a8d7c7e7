"""The number of clients' connections is limited: which are closed to accept others."""

from __future__ import annotations

import asyncio
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


def test_connections_beyond_the_capacity_replace_idle_ones() -> None:
    # Guards the descriptor limit: 66 sockets leave one for clients.
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
    # Guards clients with few connections: idle ones could otherwise take up the whole capacity.
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
    # A full table is no reason to close connections just opened while no further one is pending.
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
            held = []
            accept = frontend._accept

            def noted(max_accepted: int = 64) -> bool:
                done = accept(max_accepted)
                held.append(len(os.listdir("/proc/self/fd")))
                return done

            before = len(os.listdir("/proc/self/fd"))
            frontend._pause_accepting()
            frontend._accept = noted  # type: ignore[method-assign]  # counts descriptors at each call
            frontend._resume_accepting()
            former = set(frontend.connections)
            await wait_until(lambda: len(set(frontend.connections) - former) == 40)
            assert max(held) <= before + 1
            for each in clients:
                each.close()

    run_scenario(scenario())


@pytest.mark.parametrize("turns", range(6))
def test_connection_being_set_up_counts_once(turns: int) -> None:
    # Counted twice for a few iterations of the event loop, it evicted others that were new as well.
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
                for _ in range(turns):
                    await asyncio.sleep(0)
            for index, sock in enumerate(clients):
                reader, writer = await asyncio.open_connection(sock=sock)
                writer.write(request(X_Call_Id=f"{index}"))
                assert (await read_response(reader))[0] == 200
                writer.close()

    run_scenario(scenario())
