"""Races of requests with crashing servers, draining servers and SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest
from proxy_harness import (
    LoopbackListener,
    ProxyHarness,
    never_respond,
    read_message,
    read_response,
    request,
    reset,
    respond_ok,
    run_scenario,
    running_proxy,
    shrink_send_buffers,
    unread_listener,
    wait_for_eof,
    wait_until,
)
from virtual_time import advance, now_s, run_in_virtual_time

from sidecar.balancer.events import ServerState
from sidecar.proxy import connection_dialer, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.server_connection import ServerConnection
from sidecar.proxy.sockets import is_connected

BAD_CLIENT_TIMEOUT_S = 3.0  # within this time a client that breaks the protocol gets an error or a close
_WRITE_INTERVAL_S = 0.005  # between writes, so that the event loop reads each separately


# -- A server that crashes after it accepted a connection


class CrashingServer(LoopbackListener):
    """Accepts connections and resets each, at once or after the last byte of its request."""

    def __init__(self, resets_at_once: bool) -> None:
        self.resets_at_once = resets_at_once
        self.accepted = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            if not self.resets_at_once:
                await read_message(reader)
        reset(writer)


def delay_dials_until_reset(monkeypatch: pytest.MonkeyPatch, crashing_server: Address) -> None:
    """Let each dial to an address finish only when the kernel has received the reset of its connection."""
    connect = server_connection.connect

    async def connect_and_wait_for_reset(
        address: Address,
        max_body_bytes: int,
        response_timeout_s: float | None = None,
        sock: socket.socket | None = None,
    ) -> ServerConnection:
        connection = await connect(address, max_body_bytes, response_timeout_s, sock)
        if address == crashing_server:
            assert connection._transport is not None
            connection._transport.pause_reading()  # the event loop must not see the reset first
            await wait_until(lambda: not is_connected(connection.sock))
        return connection

    monkeypatch.setattr(connection_dialer, "connect", connect_and_wait_for_reset)


async def send_until_reached(
    proxy: ProxyHarness, kind: str, body: bytes, is_reached: Callable[[], object]
) -> tuple[int, bytes]:
    """Send requests until one has reached the crashing server; return its status and response body."""
    for _ in range(200):
        status, _, response_body = await proxy.send_request(kind=kind, body=body, budget="500")
        if is_reached():
            return status, response_body
    raise AssertionError("no request reached the crashing server")


@pytest.mark.parametrize("kind", ["look", "pay", "amend"])
@pytest.mark.parametrize("resets_at_once", [True, False])
def test_server_crashes_after_accept_and_only_a_written_unsafe_request_fails(
    resets_at_once: bool, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        crashing_server = CrashingServer(resets_at_once)
        await crashing_server.start()
        if resets_at_once:
            delay_dials_until_reset(monkeypatch, crashing_server.address)
        async with running_proxy(respond_ok, respond_ok) as proxy:
            proxy.sidecar._pool.update("s-0", crashing_server.address, None, ServerState.READY)
            body = b"" if kind == "look" else b"whole"
            response = await send_until_reached(proxy, kind, body, lambda: crashing_server.accepted)
            sent = proxy.servers[1].requests
            last_id = f"{proxy._requests_sent:016x}"
            received_bodies = [each for _, head, each in sent if head["x-call-id"] == last_id]
            if kind == "pay" and not resets_at_once:
                assert response == (500, b"")
                assert received_bodies == []
                assert crashing_server.accepted == 1
            else:
                assert response == (200, b"served")
                assert received_bodies == [body]
        crashing_server.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("kind", ["pay", "amend"])
def test_server_crashes_as_a_long_request_is_half_written_and_another_serves_it(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    shrink_send_buffers(monkeypatch)

    async def scenario() -> None:
        with unread_listener() as listener:
            listener.setblocking(False)
            received_byte_counts: list[int] = []

            async def accept_and_reset() -> None:
                accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
                with accepted:  # closed with unread bytes, which resets the connection
                    accepted.setblocking(False)
                    received_byte_counts.append(len(await asyncio.get_running_loop().sock_recv(accepted, 1)))

            reset_task = asyncio.create_task(accept_and_reset())
            async with running_proxy(respond_ok, respond_ok) as proxy:
                proxy.sidecar._pool.update("s-0", listener.getsockname()[:2], None, ServerState.READY)
                status, body = await send_until_reached(
                    proxy, kind, bytes(60_000), lambda: received_byte_counts
                )
                assert (status, body) == (200, b"served")
                assert received_byte_counts == [1]
                last_id = f"{proxy._requests_sent:016x}"
                sent = [each for _, head, each in proxy.server_requests() if head["x-call-id"] == last_id]
                assert sent == [bytes(60_000)]
            await reset_task

    run_scenario(scenario())


# -- Requests sent byte by byte, during a drain or too slowly


async def open_idle_connection(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that has carried a request and is idle."""
    reader, writer = await proxy.connect()
    writer.write(request(X_Call_Id="earlier"))
    assert (await read_response(reader))[0] == 200
    return reader, writer


async def send_byte_by_byte(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send data byte by byte; the event loop reads each byte separately."""
    for index in range(len(data)):
        writer.write(data[index : index + 1])
        await asyncio.sleep(_WRITE_INTERVAL_S)


def single_bytes_request(request_id: str) -> bytes:
    return request("pay", body=b"in single bytes", budget="500", X_Call_Id=request_id)


@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
@pytest.mark.parametrize("cut", [1, 40, -10, -1], ids=["first byte", "head", "body", "last byte"])
def test_request_in_single_bytes_during_the_drain_of_a_server_goes_to_another(cut: int, used: bool) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok) as proxy:
            reader, writer = await (open_idle_connection(proxy) if used else proxy.connect())
            requests_before = len(proxy.servers[0].requests)
            draining_server = proxy.sidecar._pool.servers["s-0"]
            for number in range(4):
                data = single_bytes_request(f"{number}")
                await send_byte_by_byte(writer, data[:cut])
                if number == 0:
                    proxy.discovery.push_update(42, [proxy.servers[0].entry(status="leaving")])
                    await wait_until(lambda: draining_server.state is ServerState.DRAINING)
                await send_byte_by_byte(writer, data[cut:])
                status, headers, body = await read_response(reader)
                assert (status, body) == (200, b"served")
                assert "connection" not in headers
            assert len(proxy.servers[0].requests) == requests_before
            assert [each for *_, each in proxy.servers[1].requests[-4:]] == [b"in single bytes"] * 4
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
@pytest.mark.parametrize("cut", [1, 40, -10, -1], ids=["first byte", "head", "body", "last byte"])
def test_request_in_single_bytes_during_sigterm_gets_its_response(cut: int, used: bool) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await (open_idle_connection(proxy) if used else proxy.connect())
            data = single_bytes_request("begun")
            await send_byte_by_byte(writer, data[:cut])
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            await send_byte_by_byte(writer, data[cut:])
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert [each for *_, each in proxy.servers[0].requests[used:]] == [b"in single bytes"]
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
@pytest.mark.parametrize("sends_whole_head", [False, True])
def test_request_sent_too_slowly_in_single_bytes_is_rejected_in_time(
    sends_whole_head: bool, used: bool
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await (open_idle_connection(proxy) if used else proxy.connect())
            data = single_bytes_request("slow")
            head = data.index(b"\r\n\r\n") + 4 if sends_whole_head else 1
            started_at = now_s()
            writer.write(data[:head])

            async def trickle() -> None:
                for byte in data[head:]:
                    await asyncio.sleep(0.25)
                    writer.write(bytes([byte]))

            trickle_task = asyncio.create_task(trickle())
            assert (await read_response(reader))[0] == 408
            assert now_s() - started_at < BAD_CLIENT_TIMEOUT_S
            assert await wait_for_eof(reader)
            trickle_task.cancel()
            assert len(proxy.server_requests()) == used
            writer.close()

    run_in_virtual_time(scenario())


# -- Requests that arrive around SIGTERM


async def open_new_connection(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that has carried no request yet."""
    connections_before = len(proxy.sidecar.frontend.connections)
    streams = await proxy.connect()
    await wait_until(lambda: len(proxy.sidecar.frontend.connections) > connections_before)
    return streams


async def open_with_partial_request(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection on which part of a request has arrived."""
    reader, writer = await open_new_connection(proxy)
    writer.write(CROSSING_REQUEST[:30])
    await wait_until(lambda: any(each.has_partial_request() for each in proxy.sidecar.frontend.connections))
    return reader, writer


CROSSING_REQUEST = request("pay", body=b"crossing", budget="500", X_Call_Id="crossing")
CONNECTION_OPENERS = {
    "idle": open_idle_connection,
    "new": open_new_connection,
    "half a request": open_with_partial_request,
}


@pytest.mark.parametrize("connection_kind", CONNECTION_OPENERS)
def test_request_unread_as_sigterm_is_handled_gets_its_response(connection_kind: str) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await CONNECTION_OPENERS[connection_kind](proxy)
            data = CROSSING_REQUEST[30:] if connection_kind == "half a request" else CROSSING_REQUEST
            writer.write(data)  # it is unread as the drain begins: no event loop iteration has run
            proxy.sidecar.frontend.drain()
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await wait_for_eof(reader)
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.3, 0.49, 0.51, 0.6, 1.2])
@pytest.mark.parametrize("connection_kind", CONNECTION_OPENERS)
def test_request_after_sigterm_gets_a_response_or_a_close_without_being_forwarded(
    connection_kind: str, after_s: float
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await CONNECTION_OPENERS[connection_kind](proxy)
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            await advance(after_s)
            writer.write(CROSSING_REQUEST[30:] if connection_kind == "half a request" else CROSSING_REQUEST)
            try:
                status, headers, body = await read_response(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert "crossing" not in [head["x-call-id"] for _, head, _ in proxy.server_requests()]
                assert connection_kind != "half a request"
                assert connection_kind == "idle" or after_s > 0.5
            else:
                assert (status, headers["connection"], body) == (200, "close", b"served")
            await wait_until(lambda: proxy.sidecar.frontend.has_no_connections())
            writer.close()

    run_in_virtual_time(scenario())


def test_request_behind_the_last_response_of_a_drain_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await open_new_connection(proxy)
            writer.write(request("pay", body=b"first", budget="500", X_Call_Id="first"))
            await wait_until(proxy.server_requests)
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(respond_ok())
            writer.write(CROSSING_REQUEST)
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await wait_for_eof(reader)
            await wait_until(lambda: proxy.sidecar.frontend.has_no_connections())
            assert [head["x-call-id"] for _, head, _ in proxy.server_requests()] == ["first"]
            writer.close()

    run_in_virtual_time(scenario())


def test_pipelined_request_is_answered_before_a_drain_closes_its_connection() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await open_new_connection(proxy)
            writer.write(request("pay", body=b"first", budget="500", X_Call_Id="first") + CROSSING_REQUEST)
            await wait_until(proxy.server_requests)
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(respond_ok())
            status, headers, body = await read_response(reader)
            assert (status, headers.get("connection"), body) == (200, None, b"served")
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await wait_for_eof(reader)
            await wait_until(lambda: proxy.sidecar.frontend.has_no_connections())
            assert [head["x-call-id"] for _, head, _ in proxy.server_requests()] == ["first", "crossing"]
            writer.close()

    run_in_virtual_time(scenario())
