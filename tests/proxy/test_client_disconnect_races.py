"""A client disconnects while its request is accepted, sent, retried or queued."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import pytest
from balancer_harness import SECOND_US
from proxy_harness import (
    CLASSES,
    LIMITS,
    encode_response,
    never_respond,
    reject,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)
from race_helpers import FAR_DEADLINE, Client, connection_of_request, open_reusable_connections

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy import connection_dialer, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.exchange import DeferredRequest
from sidecar.proxy.http_messages import EncodedMessage, encode_message
from sidecar.proxy.server_connection import ServerConnection


def test_client_disconnects_while_queued_or_unread() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            address = proxy.sidecar.frontend.address
            unread = Client(address, b"")
            await wait_until(lambda: proxy.sidecar.frontend.connections)
            proxy.sidecar.frontend._pause_accepting()
            queued = Client(address, request(X_Call_Id="queued"))
            unread.send(request(X_Call_Id="unread"))
            for each in (queued, unread):
                each.disconnect()
            proxy.sidecar.frontend._resume_accepting()
            assert (await proxy.send_request(X_Call_Id="next"))[0] == 200  # accepted and read after them
            await wait_until(lambda: not proxy.sidecar._active)
            assert [head["x-call-id"] for _, head, _ in proxy.server_requests()] == ["next"]
            for each in (queued, unread):
                each.close()

    run_scenario(scenario())


def test_client_disconnects_as_the_connection_for_its_request_opens(monkeypatch: pytest.MonkeyPatch) -> None:
    connected, proceed = asyncio.Event(), asyncio.Event()
    connect = server_connection.connect

    async def connect_and_wait(*arguments: object) -> ServerConnection:
        # The arguments are passed on unchanged.
        connection = await connect(*arguments)  # type: ignore[arg-type]
        connected.set()
        await proceed.wait()
        return connection

    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            monkeypatch.setattr(connection_dialer, "connect", connect_and_wait)
            client = Client(proxy.sidecar.frontend.address, request("pay", body=b"x"))
            await connected.wait()
            client.disconnect()
            proceed.set()  # the event loop continues with the dial before it reads the client's close
            await wait_until(lambda: not proxy.sidecar._active)
            assert (await proxy.send_request(kind="pay", body=b"next", X_Call_Id="next"))[0] == 200
            assert [body for _, _, body in proxy.server_requests()] == [b"next"]
            # The connection is kept for other requests, and is counted once.
            assert proxy.sidecar._pool.open_connections == len(
                proxy.sidecar._pool.servers["s-0"].idle_connections
            )
            client.close()

    run_scenario(scenario())


def test_client_disconnects_as_its_request_is_retried() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok) as proxy:
            await open_reusable_connections(proxy)
            for each in proxy.servers:
                each.script = never_respond
            before = len(proxy.server_requests())
            client = Client(proxy.sidecar.frontend.address, request())
            await wait_until(lambda: len(proxy.server_requests()) == before + 1)
            client.disconnect()
            # The rejection is read before the client's close.
            connection_of_request(proxy, "9b1f03aa5c7e2d41").data_received(reject())
            await wait_until(lambda: not proxy.sidecar._active)
            assert (await proxy.send_request(path="/health/ready"))[0] == 200  # the loop has run meanwhile
            assert len(proxy.server_requests()) == before + 1
            client.close()

    run_scenario(scenario())


def test_client_disconnects_as_its_request_is_next_for_its_key() -> None:
    classes = [each | {"ordered_by_key": True} for each in CLASSES]

    async def scenario() -> None:
        async with running_proxy(never_respond, classes=classes) as proxy:
            proxy.sidecar._pool._idle_connections.reuse_delay_s = 0.0  # idle connections are reused at once
            first = Client(proxy.sidecar.frontend.address, request(X_Call_Id="first"))
            await wait_until(proxy.server_requests)
            second = Client(proxy.sidecar.frontend.address, request(X_Call_Id="second"))
            await wait_until(lambda: len(proxy.sidecar._active) == 2)
            second.disconnect()
            connection_of_request(proxy, "first").data_received(respond_ok())
            await wait_until(lambda: not proxy.sidecar._active)
            assert [head["x-call-id"] for _, head, _ in proxy.server_requests()] == ["first"]
            first.close()
            second.close()

    run_scenario(scenario())


@pytest.mark.parametrize("disconnects", [True, False])
def test_client_disconnects_as_its_long_request_is_half_written(disconnects: bool) -> None:
    # A server starts on a request when it has the last byte, which a busy event loop may write long after
    # the client has disconnected.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            pool = ConnectionPool(600.0, 600.0, 10)
            pool.update("s", listener.getsockname()[:2], None, ServerState.READY)
            data = encode_message(b"POST / HTTP/1.1", [(b"Content-Length", b"8000000")], bytes(8_000_000))
            message = EncodedMessage(data)
            encodings = [message, None if disconnects else message]
            outcomes: list[Outcome] = []
            exchange = pool.send(
                "s",
                DeferredRequest(lambda _: encodings.pop(0)),
                FAR_DEADLINE,
                lambda outcome, _: outcomes.append(outcome),
            )
            accepted, _ = await loop.sock_accept(listener)
            with accepted:
                await wait_until(lambda: exchange.connection is not None)
                assert not exchange.is_request_written()
                assert len(encodings) == 1
                received = 0
                while received < len(data) - disconnects:
                    received += len(await loop.sock_recv(accepted, 1 << 20))
                if disconnects:
                    await wait_until(lambda: outcomes)
                    with contextlib.suppress(ConnectionError):
                        assert await loop.sock_recv(accepted, 10) == b""
                    assert outcomes == [Outcome.NOT_SENT]
                else:
                    await loop.sock_sendall(accepted, respond_ok())
                    await wait_until(lambda: outcomes)
                    assert outcomes == [Outcome.SUCCEEDED]
            assert encodings == []

    run_scenario(scenario())


@pytest.mark.parametrize("disconnects", [False, True])
def test_client_disconnects_as_its_request_waits_for_load_probes(
    disconnects: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    connections: list[ServerConnection] = []
    connect = server_connection.connect

    async def connect_and_record(
        address: Address,
        max_body_bytes: int,
        response_timeout_s: float | None = None,
        sock: socket.socket | None = None,
    ) -> ServerConnection:
        connections.append(await connect(address, max_body_bytes, response_timeout_s, sock))
        return connections[-1]

    monkeypatch.setattr(connection_dialer, "connect", connect_and_record)
    report = {"source": "probes", "columns": ["inflight"]}

    def serve_all_but_probes(request_line: str, *_: object) -> bytes | None:
        return None if "/stats" in request_line else respond_ok()

    async def scenario() -> None:
        # The request waits for the responses to the probes, as their usual duration is not known yet.
        classes = [
            each | {"deadline_us": 600 * SECOND_US, "latency_target_us": 600 * SECOND_US} for each in CLASSES
        ]
        limits = LIMITS | {"allow_probes": True, "dial_timeout_us": 600 * SECOND_US}
        changes: dict[str, Any] = {"classes": classes, "limits": limits, "prices": {"probe": 0.001}}
        async with running_proxy(
            serve_all_but_probes, serve_all_but_probes, report=report, **changes
        ) as proxy:
            proxy.sidecar._pool._idle_connections.reuse_delay_s = 0.0  # idle connections are reused at once
            client = Client(proxy.sidecar.frontend.address, request(budget="500"))
            await wait_until(lambda: len(proxy.server_requests()) == 2)
            if disconnects:
                client.disconnect()
            for probed in connections:
                if not probed.is_idle() and probed.is_request_written:  # read before the client's close
                    probed.data_received(encode_response(200, b'{"inflight": 1}'))
            await wait_until(lambda: not proxy.sidecar._active)
            forwarded = [line for line, _, _ in proxy.server_requests() if "/stats" not in line]
            assert len(forwarded) == (not disconnects)
            client.close()

    run_scenario(scenario())
