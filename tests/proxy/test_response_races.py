"""A response arrives while its request, its attempt or its connection ends."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from proxy_harness import (
    FakeServer,
    encode_response,
    never_respond,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)
from race_helpers import FAR_DEADLINE

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.connection_state import STATE_TIME_LIMITS_S, ConnectionState
from sidecar.proxy.exchange import DeferredRequest, EncodedRequest, Exchange, classify_outcome
from sidecar.proxy.http_messages import Response, encode_message
from sidecar.proxy.server_connection import ServerConnection
from sidecar.proxy.sockets import has_peer_closed


def test_second_response_arrives_as_the_next_request_is_sent_where_connections_are_scarce() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond, sockets=66) as proxy:  # room for one connection to servers
            proxy.sidecar._pool._idle_connections.reuse_delay_s = 600.0
            (server,) = proxy.servers

            def respond_twice(first: str, *_: object) -> bytes:
                if len(server.writers) == 1 and len(server.requests) == 2:
                    server.writers[0].write(encode_response(200, b"again to the first"))
                return encode_response(200, first.encode())

            server.script = respond_twice
            for number in range(3):
                status, _, body = await proxy.send_request(path=f"/api/{number}", X_Call_Id=f"{number}")
                assert (status, body) == (200, f"GET /api/{number} HTTP/1.1".encode())

    run_scenario(scenario())


def test_new_connection_arrives_while_a_response_is_being_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(STATE_TIME_LIMITS_S, ConnectionState.DELIVERING, 600.0)

    async def scenario() -> None:
        async with running_proxy(never_respond, sockets=66) as proxy:  # room for one client
            slow_socket = socket.socket()
            slow_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            slow_socket.setblocking(False)
            await asyncio.get_running_loop().sock_connect(slow_socket, proxy.sidecar.frontend.address)
            slow_socket.send(request(budget="500"))
            await wait_until(proxy.server_requests)
            (connection,) = proxy.sidecar.frontend.connections
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(encode_response(200, bytes(60_000)))
            await wait_until(lambda: connection._write_blocked and proxy.sidecar.frontend._accepting)
            reader, writer = await proxy.connect()
            writer.write(request(X_Call_Id="new"))
            # It arrived, and there was no capacity for it.
            await wait_until(lambda: not proxy.sidecar.frontend._accepting)
            slow_reader, slow_writer = await asyncio.open_connection(sock=slow_socket)
            assert (await read_response(slow_reader))[2] == bytes(60_000)
            assert (await read_response(reader))[2] == b"served"
            for each in (slow_writer, writer):
                each.close()

    run_scenario(scenario())


def test_response_before_its_request_is_written_is_not_accepted() -> None:
    early_response = Response(200, [], b"again to the one before")
    assert (
        classify_outcome(early_response, is_request_written=False, has_protocol_error=False)
        is Outcome.CONNECT_FAILED
    )
    assert (
        classify_outcome(early_response, is_request_written=True, has_protocol_error=False)
        is Outcome.SUCCEEDED
    )
    rejection = Response(503, [(b"x-rejected", b"1")], b"")
    # A server may reject a request before it has received all of it.
    assert classify_outcome(rejection, is_request_written=False, has_protocol_error=False) is Outcome.REJECTED


async def start_attempt(
    server: FakeServer,
) -> tuple[ConnectionPool, Exchange, ServerConnection, list[Outcome]]:
    """Write an attempt to a server; return its pool, exchange, connection and the list of its outcomes."""
    await server.start()
    pool = ConnectionPool(600.0, 600.0, 10)
    pool.update("s", server.address, None, ServerState.READY)
    outcomes: list[Outcome] = []
    encoded_request = encode_message(b"GET /api/1 HTTP/1.1", [(b"Host", b"x")])
    exchange = pool.send(
        "s", EncodedRequest(encoded_request), FAR_DEADLINE, lambda outcome, _: outcomes.append(outcome)
    )
    await wait_until(lambda: server.requests)
    assert exchange.connection is not None
    return pool, exchange, exchange.connection, outcomes


ATTEMPT_ENDS: dict[str, tuple[Callable[[ConnectionPool, Exchange], None], list[Outcome]]] = {
    "its time is up": (lambda pool, exchange: exchange.on_deadline(), [Outcome.TIMED_OUT]),
    "it is called off": (lambda pool, exchange: pool.cancel(exchange), [Outcome.CANCELLED]),
    # The exchange has a connection by then, which mypy cannot infer.
    "its connection breaks": (lambda _, exchange: exchange.connection.connection_lost(None), [Outcome.RESET]),  # type: ignore[union-attr]
}


@pytest.mark.parametrize("ending", ATTEMPT_ENDS)
def test_attempt_ends_as_its_response_arrives(ending: str) -> None:
    end_attempt, expected = ATTEMPT_ENDS[ending]

    async def scenario() -> None:
        for is_response_first in (True, False):
            server = FakeServer("s", never_respond)
            pool, exchange, connection, outcomes = await start_attempt(server)
            for is_response in (True, False) if is_response_first else (False, True):
                if is_response:
                    connection.data_received(respond_ok())
                else:
                    end_attempt(pool, exchange)
            assert outcomes == ([Outcome.SUCCEEDED] if is_response_first else expected)
            # If the response came last, a further one on this connection could belong to either request.
            assert connection.is_idle() is (is_response_first and ending != "its connection breaks")
            server.stop()

    run_scenario(scenario())


def test_abandoned_attempt_is_not_in_flight_as_the_next_one_is_written() -> None:
    # Guards against two concurrent attempts where hedging is not allowed: the next attempt may be written in
    # the event loop iteration in which this one ends.
    async def scenario() -> None:
        server = FakeServer("s", never_respond)
        pool, exchange, _, outcomes = await start_attempt(server)
        pool.cancel(exchange)
        assert outcomes == [Outcome.CANCELLED]
        # No event loop iteration has run since.
        assert has_peer_closed(server.writers[0].get_extra_info("socket"))
        server.stop()

    run_scenario(scenario())


def test_idle_connection_times_out_as_the_next_request_takes_it() -> None:
    async def scenario() -> None:
        server = FakeServer("s", respond_ok)
        pool, _, connection, outcomes = await start_attempt(server)
        await wait_until(lambda: outcomes)
        pool._idle_connections.reuse_delay_s = 0.0
        timer = pool.servers["s"].idle_connections[0].close_timer
        server.script = never_respond
        pool.send(
            "s",
            EncodedRequest(b"GET / HTTP/1.1\r\n\r\n"),
            FAR_DEADLINE,
            lambda outcome, _: outcomes.append(outcome),
        )
        timer._run()  # it expires in the same event loop iteration
        await wait_until(lambda: len(server.requests) == 2)
        connection.data_received(respond_ok())
        assert outcomes == [Outcome.SUCCEEDED, Outcome.SUCCEEDED]
        assert len(server.writers) == 1
        server.stop()

    run_scenario(scenario())


def test_client_has_disconnected_as_its_request_takes_an_idle_connection() -> None:
    # If the connection were kept as if it had just been used, it would stay in the pool for longer than its
    # server keeps it open.
    async def scenario() -> None:
        server = FakeServer("s", respond_ok)
        pool, _, connection, outcomes = await start_attempt(server)
        await wait_until(lambda: outcomes)
        pool._idle_connections.reuse_delay_s = 0.0
        pool.send(
            "s", DeferredRequest(lambda _: None), FAR_DEADLINE, lambda outcome, _: outcomes.append(outcome)
        )
        assert outcomes == [Outcome.SUCCEEDED, Outcome.NOT_SENT]
        assert not pool.servers["s"].idle_connections
        assert not connection.is_idle()
        await wait_until(lambda: pool.open_connections == 0)
        server.stop()

    run_scenario(scenario())


def test_idle_connections_closed_by_their_server_free_no_capacity() -> None:
    async def scenario() -> None:
        idle, busy = FakeServer("a", respond_ok), FakeServer("s", never_respond)
        pool = ConnectionPool(600.0, 600.0, 2)
        for each in (idle, busy):
            await each.start()
            pool.update(each.name, each.address, None, ServerState.READY)
        outcomes: list[Outcome] = []

        def send(name: str) -> None:
            encoded_request = encode_message(b"GET / HTTP/1.1", [(b"Host", b"x")])
            pool.send(
                name,
                EncodedRequest(encoded_request),
                FAR_DEADLINE,
                lambda outcome, _: outcomes.append(outcome),
            )

        send("a")
        await wait_until(lambda: outcomes)
        idle.stop()
        await wait_until(lambda: not pool.open_connections)  # it is still listed as idle
        for _ in range(3):
            send("s")
        assert pool.open_connections == 2
        assert outcomes == [Outcome.SUCCEEDED, Outcome.CONNECT_FAILED]
        await wait_until(lambda: len(busy.requests) == 2)
        busy.stop()

    run_scenario(scenario())
