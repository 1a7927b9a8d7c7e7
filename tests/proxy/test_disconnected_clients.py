"""Attempts whose client disconnects or does not read its response."""

from __future__ import annotations

import asyncio
import socket

from balancer_harness import SECOND_US
from proxy_harness import (
    encode_response,
    full_backlog_listener,
    never_respond,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.balancer.events import ServerState


def test_client_disconnect_cancels_the_attempt() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            _, writer = await proxy.connect()
            writer.write(request("pay", body=b"x"))
            await wait_until(proxy.server_requests)
            writer.close()
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)
            # The late outcome has been processed, and no state of the request is kept.
            assert not proxy.sidecar._active

    run_scenario(scenario())


def test_nothing_is_sent_for_a_client_that_disconnected_before_its_request_was_read() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            assert (await proxy.send_request(path="/api/1"))[0] == 200
            # This is longer than the reuse delay, so that the next request would be written at once.
            await asyncio.sleep(0.05)
            first, second = [socket.create_connection(proxy.sidecar.frontend.address) for _ in range(2)]
            await wait_until(lambda: len(proxy.sidecar.frontend.connections) >= 2)
            for each in (first, second, socket.create_connection(proxy.sidecar.frontend.address)):
                each.sendall(request(path="/api/2", X_Call_Id="gone"))
                each.close()  # before the event loop runs again
            assert (await proxy.send_request(path="/api/3", X_Call_Id="next"))[0] == 200
            assert [line.split(" ")[1] for line, _, _ in proxy.server_requests()] == ["/api/1", "/api/3"]

    run_scenario(scenario())


def test_nothing_is_sent_for_a_request_that_is_over_even_if_cancelling_is_not_allowed() -> None:
    # Guards against a dial that succeeds after the final response, and then still writes the request.
    async def scenario() -> None:
        limits = {"max_attempts": 3, "allow_cancel": False, "dial_timeout_us": 600 * SECOND_US}
        with full_backlog_listener() as address:
            async with running_proxy(respond_ok, limits=limits) as proxy:
                proxy.sidecar._pool.update("s-0", address, None, ServerState.READY)
                _, writer = await proxy.connect()
                writer.write(request("pay", body=b"x", budget="600"))
                await wait_until(lambda: proxy.sidecar._pool.open_connections == 1)
                writer.close()
                await wait_until(
                    lambda: not proxy.sidecar._active and not proxy.sidecar._pool.open_connections
                )

    run_scenario(scenario())


def test_client_that_reads_nothing_neither_delays_others_nor_stays_connected() -> None:
    async def scenario() -> None:
        async with running_proxy(lambda *_: encode_response(200, bytes(60_000))) as proxy:
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            slow.setblocking(False)
            await asyncio.get_running_loop().sock_connect(slow, proxy.sidecar.frontend.address)
            _, writer = await asyncio.open_connection(sock=slow, limit=16)
            data = b"".join(request(X_Call_Id=f"{number}") for number in range(50))
            writer.write(data)  # the client reads none of the responses
            await wait_until(proxy.server_requests)
            assert len((await proxy.send_request())[2]) == 60_000
            await wait_until(lambda: not proxy.sidecar.frontend.connections)  # its capacity is free again
            writer.close()

    run_scenario(scenario())
