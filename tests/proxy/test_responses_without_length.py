"""Responses without a length: an orderly close of the connection completes them, a reset does not."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from proxy_harness import TIMEOUT_S, FakeServer, never_respond, reset, run_scenario, running_proxy, wait_until

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.connection_dialer import MAX_RESPONSE_BODY_BYTES
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.exchange import EncodedRequest
from sidecar.proxy.http_messages import Response, encode_message

_HEAD = b"HTTP/1.1 200 X\r\n\r\n"
_HEADS = {
    "with Connection: close": b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n",
    "without it": _HEAD,
    "HTTP/1.0": b"HTTP/1.0 200 X\r\n\r\n",
    "HTTP/1.0 that would keep it": b"HTTP/1.0 200 X\r\nConnection: keep-alive\r\n\r\n",
}
_BODIES = {"empty": b"", "short": b"served", "the longest": bytes(MAX_RESPONSE_BODY_BYTES)}


async def send_short_request(pool: ConnectionPool) -> tuple[Outcome, Response | None]:
    """Send a short request to server s; return its outcome and its response, if any."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[tuple[Outcome, Response | None]] = loop.create_future()
    data = encode_message(b"POST / HTTP/1.1", [(b"Host", b"x"), (b"Content-Length", b"0")])
    pool.send("s", EncodedRequest(data), loop.time() + TIMEOUT_S, lambda *result: ended.set_result(result))
    return await ended


@pytest.mark.parametrize("body", _BODIES.values(), ids=_BODIES)
@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
def test_orderly_close_completes_a_response(head: bytes, body: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            response_task = asyncio.create_task(proxy.send_request(kind="pay", body=b"x"))
            await wait_until(proxy.server_requests)
            (writer,) = proxy.servers[0].writers
            writer.write(head + body)
            writer.close()
            status, _, received = await response_task
            assert (status, received) == (200, body)
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


def test_orderly_close_completes_a_response_in_pieces_and_its_connection_is_not_reused() -> None:
    async def scenario() -> None:
        server = FakeServer("s", never_respond)
        await server.start()
        pool = ConnectionPool(TIMEOUT_S, 60.0, 10)
        pool._idle_connections.reuse_delay_s = 0.0
        pool.update("s", server.address, None, ServerState.READY)
        result_task = asyncio.create_task(send_short_request(pool))
        await wait_until(lambda: server.requests)
        for piece in (_HEAD[:9], _HEAD[9:] + b"ser", b"ved"):
            server.writers[0].write(piece)
            await asyncio.sleep(0)
            assert not result_task.done()  # it is incomplete without the close
        server.writers[0].close()
        outcome, response = await result_task
        assert outcome is Outcome.SUCCEEDED
        assert response is not None
        assert response.body == b"served"
        assert not pool.servers["s"].idle_connections
        await wait_until(lambda: pool.open_connections == 0)
        server.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("body", [b"", b"part of it or all", bytes(MAX_RESPONSE_BODY_BYTES)], ids=_BODIES)
def test_reset_truncates_a_response_however_much_of_it_was_received(body: bytes) -> None:
    # The reset arrives after the sidecar has read the bytes, or while they are still unread in its kernel.
    async def scenario(is_read_before_reset: bool) -> None:
        async with running_proxy(never_respond) as proxy:
            response_task = asyncio.create_task(proxy.send_request(kind="pay", body=b"x"))
            await wait_until(proxy.server_requests)
            (writer,) = proxy.servers[0].writers
            writer.write(_HEAD + body)
            await writer.drain()
            if is_read_before_reset:
                (active_request,) = proxy.sidecar._active
                (exchange,) = active_request.in_flight.values()
                assert exchange is not None
                assert exchange.connection is not None
                reader = exchange.connection._response_reader
                assert reader is not None
                await wait_until(lambda: reader._head is not None and len(reader._body) == len(body))
            reset(writer)
            assert (await response_task)[0] == 500
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario(True))
    run_scenario(scenario(False))


def test_close_with_unread_bytes_is_a_reset() -> None:
    # The kernel resets a connection that is closed with unread bytes.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        pool = ConnectionPool(TIMEOUT_S, 60.0, 10)
        pool.update("s", listener.getsockname()[:2], None, ServerState.READY)
        result_task = asyncio.create_task(send_short_request(pool))
        accepted, _ = await loop.sock_accept(listener)
        assert await loop.sock_recv(accepted, 1)  # the rest of the request stays unread
        await loop.sock_sendall(accepted, _HEAD + b"all of it")
        accepted.close()
        assert await result_task == (Outcome.RESET, None)
        listener.close()

    run_scenario(scenario())


def test_killed_process_truncates_its_responses() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            response_task = asyncio.create_task(proxy.send_request(kind="pay", body=b"x"))
            await wait_until(proxy.server_requests)
            proxy.servers[0].writers[0].write(_HEAD + b"all of it")
            proxy.servers[0].stop()
            assert (await response_task)[0] == 500
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


@pytest.mark.parametrize("server_closes", [True, False])
def test_response_over_the_size_limit_is_not_forwarded(server_closes: bool) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            response_task = asyncio.create_task(proxy.send_request(kind="pay", body=b"x"))
            await wait_until(proxy.server_requests)
            (writer,) = proxy.servers[0].writers
            writer.write(_HEAD + bytes(MAX_RESPONSE_BODY_BYTES + 1))
            if server_closes:
                writer.close()
            assert (await response_task)[0] == 500
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


@pytest.mark.parametrize(
    "truncated",
    [
        b"HTTP/1.1 200 X\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 200 X\r\nContent-Length: 9\r\nConnection: close\r\n\r\nnot all",
        b"HTTP/1.0 200 X\r\nContent-Length: 9\r\n\r\nnot all",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nnot\r\n",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nnot\r\n0\r\n",
    ],
)
def test_orderly_close_does_not_complete_a_response_that_announces_more(truncated: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            response_task = asyncio.create_task(proxy.send_request(kind="pay", body=b"x"))
            await wait_until(proxy.server_requests)
            (writer,) = proxy.servers[0].writers
            writer.write(truncated)
            writer.close()
            assert (await response_task)[0] == 500
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


def test_response_that_never_ends_times_out() -> None:
    async def scenario() -> None:
        server = FakeServer("s", lambda *_: _HEAD + b"and no end")
        await server.start()
        pool = ConnectionPool(0.1, 60.0, 10)  # the dial timeout also limits a response that has begun
        pool.update("s", server.address, None, ServerState.READY)
        assert await send_short_request(pool) == (Outcome.ERROR, None)
        await wait_until(lambda: server.closed_by_peer == 1 and pool.open_connections == 0)
        server.stop()

    run_scenario(scenario())


def test_rejection_without_length_is_a_rejection_once_it_is_complete() -> None:
    async def scenario(server_resets: bool) -> None:
        server = FakeServer("s", never_respond)
        await server.start()
        pool = ConnectionPool(TIMEOUT_S, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        result_task = asyncio.create_task(send_short_request(pool))
        await wait_until(lambda: server.requests)
        (writer,) = server.writers
        writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\n\r\n")
        if server_resets:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        assert (await result_task)[0] is (Outcome.RESET if server_resets else Outcome.REJECTED)
        server.stop()

    run_scenario(scenario(False))
    run_scenario(scenario(True))
