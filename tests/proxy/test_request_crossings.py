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

BAD_PEER_S = 3.0  # within this time a client that breaks the protocol gets an error or a close
_GAP_S = 0.005  # between writes, so that the event loop reads each separately


# -- A server that crashes after it accepted a connection


class DyingServer(LoopbackListener):
    """Accepts connections and resets each, at once or after the last byte of its request."""

    def __init__(self, at_once: bool) -> None:
        self.at_once = at_once
        self.accepted = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            if not self.at_once:
                await read_message(reader)
        reset(writer)


def dial_until_reset(monkeypatch: pytest.MonkeyPatch, victim: Address) -> None:
    """Let each dial to an address finish only when the kernel has received the reset of its connection."""
    connect = server_connection.connect

    async def delayed(
        address: Address,
        max_body_bytes: int,
        response_timeout_s: float | None = None,
        sock: socket.socket | None = None,
    ) -> ServerConnection:
        connection = await connect(address, max_body_bytes, response_timeout_s, sock)
        if address == victim:
            assert connection._transport is not None
            connection._transport.pause_reading()  # the event loop must not see the reset first
            await wait_until(lambda: not is_connected(connection.sock))
        return connection

    monkeypatch.setattr(connection_dialer, "connect", delayed)


async def ask_until_reached(
    proxy: ProxyHarness, kind: str, body: bytes, is_reached: Callable[[], object]
) -> tuple[int, bytes]:
    """Send requests until one has reached the crashing server; return its status and response body."""
    for _ in range(200):
        status, _, answered = await proxy.send_request(kind=kind, body=body, budget="500")
        if is_reached():
            return status, answered
    raise AssertionError("no request reached the crashing server")


@pytest.mark.parametrize("kind", ["look", "pay", "amend"])
@pytest.mark.parametrize("at_once", [True, False])
def test_server_dies_after_accept_and_only_a_written_unsafe_request_fails(
    at_once: bool, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        victim = DyingServer(at_once)
        await victim.start()
        if at_once:
            dial_until_reset(monkeypatch, victim.address)
        async with running_proxy(respond_ok, respond_ok) as proxy:
            proxy.sidecar._pool.update("s-0", victim.address, None, ServerState.READY)
            body = b"" if kind == "look" else b"whole"
            response = await ask_until_reached(proxy, kind, body, lambda: victim.accepted)
            sent = proxy.servers[1].requests
            last = f"{proxy._requests_sent:016x}"
            received_bodies = [each for _, head, each in sent if head["x-call-id"] == last]
            if kind == "pay" and not at_once:
                assert response == (500, b"")
                assert received_bodies == []
                assert victim.accepted == 1
            else:
                assert response == (200, b"served")
                assert received_bodies == [body]
        victim.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("kind", ["pay", "amend"])
def test_server_dies_as_a_long_request_is_half_written_and_another_serves_it(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    shrink_send_buffers(monkeypatch)

    async def scenario() -> None:
        with unread_listener() as listener:
            listener.setblocking(False)
            met: list[int] = []

            async def accept_and_die() -> None:
                accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
                with accepted:  # closed with unread bytes, which resets the connection
                    accepted.setblocking(False)
                    met.append(len(await asyncio.get_running_loop().sock_recv(accepted, 1)))

            dying = asyncio.create_task(accept_and_die())
            async with running_proxy(respond_ok, respond_ok) as proxy:
                proxy.sidecar._pool.update("s-0", listener.getsockname()[:2], None, ServerState.READY)
                status, body = await ask_until_reached(proxy, kind, bytes(60_000), lambda: met)
                assert (status, body) == (200, b"served")
                assert met == [1]
                last = f"{proxy._requests_sent:016x}"
                sent = [each for _, head, each in proxy.server_requests() if head["x-call-id"] == last]
                assert sent == [bytes(60_000)]
            await dying

    run_scenario(scenario())


# -- Requests sent byte by byte, during a drain or too slowly


async def idle_connection(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that has carried a request and is idle."""
    reader, writer = await proxy.connect()
    writer.write(request(X_Call_Id="earlier"))
    assert (await read_response(reader))[0] == 200
    return reader, writer


async def send_bytes(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send data byte by byte; the event loop reads each byte separately."""
    for index in range(len(data)):
        writer.write(data[index : index + 1])
        await asyncio.sleep(_GAP_S)


def single_bytes_request(request_id: str) -> bytes:
    return request("pay", body=b"in single bytes", budget="500", X_Call_Id=request_id)


@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
@pytest.mark.parametrize("cut", [1, 40, -10, -1], ids=["first byte", "head", "body", "last byte"])
def test_request_in_single_bytes_during_the_drain_of_a_server_goes_to_another(cut: int, used: bool) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok) as proxy:
            reader, writer = await (idle_connection(proxy) if used else proxy.connect())
            requests_before = len(proxy.servers[0].requests)
            drained = proxy.sidecar._pool.servers["s-0"]
            for number in range(4):
                data = single_bytes_request(f"{number}")
                await send_bytes(writer, data[:cut])
                if number == 0:
                    proxy.discovery.push_update(42, [proxy.servers[0].entry(status="leaving")])
                    await wait_until(lambda: drained.state is ServerState.DRAINING)
                await send_bytes(writer, data[cut:])
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
            reader, writer = await (idle_connection(proxy) if used else proxy.connect())
            data = single_bytes_request("begun")
            await send_bytes(writer, data[:cut])
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            await send_bytes(writer, data[cut:])
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert [each for *_, each in proxy.servers[0].requests[used:]] == [b"in single bytes"]
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
@pytest.mark.parametrize("whole_head", [False, True])
def test_request_too_slow_in_single_bytes_is_rejected_in_time(whole_head: bool, used: bool) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await (idle_connection(proxy) if used else proxy.connect())
            data = single_bytes_request("slow")
            head = data.index(b"\r\n\r\n") + 4 if whole_head else 1
            began = now_s()
            writer.write(data[:head])

            async def trickle() -> None:
                for byte in data[head:]:
                    await asyncio.sleep(0.25)
                    writer.write(bytes([byte]))

            slow = asyncio.create_task(trickle())
            assert (await read_response(reader))[0] == 408
            assert now_s() - began < BAD_PEER_S
            assert await wait_for_eof(reader)
            slow.cancel()
            assert len(proxy.server_requests()) == used
            writer.close()

    run_in_virtual_time(scenario())


# -- Requests that arrive around SIGTERM


async def new_connection(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that has carried no request yet."""
    connections_before = len(proxy.sidecar.frontend.connections)
    streams = await proxy.connect()
    await wait_until(lambda: len(proxy.sidecar.frontend.connections) > connections_before)
    return streams


async def partial_request(proxy: ProxyHarness) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection on which part of a request has arrived."""
    reader, writer = await new_connection(proxy)
    writer.write(CROSSING[:30])
    await wait_until(lambda: any(each.has_partial_request() for each in proxy.sidecar.frontend.connections))
    return reader, writer


CROSSING = request("pay", body=b"crossing", budget="500", X_Call_Id="crossing")
CONNECTIONS = {
    "idle": idle_connection,
    "new": new_connection,
    "half a request": partial_request,
}


@pytest.mark.parametrize("how", CONNECTIONS)
def test_request_unread_as_sigterm_is_handled_gets_its_response(how: str) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await CONNECTIONS[how](proxy)
            data = CROSSING[30:] if how == "half a request" else CROSSING
            writer.write(data)  # it is unread as the drain begins: no event loop iteration has run
            proxy.sidecar.frontend.drain()
            status, headers, body = await read_response(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await wait_for_eof(reader)
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.3, 0.49, 0.51, 0.6, 1.2])
@pytest.mark.parametrize("how", CONNECTIONS)
def test_request_after_sigterm_gets_a_response_or_a_close_without_being_forwarded(
    how: str, after_s: float
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await CONNECTIONS[how](proxy)
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            await advance(after_s)
            writer.write(CROSSING[30:] if how == "half a request" else CROSSING)
            try:
                status, headers, body = await read_response(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert "crossing" not in [head["x-call-id"] for _, head, _ in proxy.server_requests()]
                assert how != "half a request"
                assert how == "idle" or after_s > 0.5
            else:
                assert (status, headers["connection"], body) == (200, "close", b"served")
            await wait_until(lambda: proxy.sidecar.frontend.has_no_connections())
            writer.close()

    run_in_virtual_time(scenario())


def test_request_behind_the_last_response_of_a_drain_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await new_connection(proxy)
            writer.write(request("pay", body=b"first", budget="500", X_Call_Id="first"))
            await wait_until(proxy.server_requests)
            proxy.stop.set()
            await wait_until(lambda: proxy.sidecar.frontend.draining)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(respond_ok())
            writer.write(CROSSING)
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
            reader, writer = await new_connection(proxy)
            writer.write(request("pay", body=b"first", budget="500", X_Call_Id="first") + CROSSING)
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
