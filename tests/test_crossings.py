"""Two events that cross, forced in the order that does harm.

None is left to chance: an end of a connection is awaited in the kernel with the event loop standing still,
and what the loop would have read first is handed on by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest
from helpers import S
from loopback import (
    CLASSES,
    LIMITS,
    PATIENCE_S,
    FakeServer,
    World,
    answer,
    deaf,
    full,
    hung,
    is_closed,
    play,
    read_answer,
    request,
    served,
    until,
    world,
)

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy import connection_dialer, driver, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.discovery import Discovery, RegistryResponse, parse_registry
from sidecar.proxy.exchange import DeferredRequest, EncodedRequest, Exchange, classify_outcome
from sidecar.proxy.frontend import _LIMITS_S, Phase
from sidecar.proxy.http_messages import Response, message
from sidecar.proxy.server_connection import Connection
from sidecar.proxy.sockets import has_ended

LATER = time.monotonic() + 3600.0  # as the event loop counts
_FIN_WAIT2 = 5  # as TCP_INFO tells it: the other side's kernel has the end


class Client:
    """A client whose end is in the sidecar's kernel once it has left, though its event loop had no turn."""

    def __init__(self, address: Address, data: bytes) -> None:
        self._sock = socket.create_connection(address)
        self.send(data)

    def send(self, data: bytes) -> None:
        self._sock.sendall(data)

    def leave(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + PATIENCE_S
        while self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _FIN_WAIT2:
            assert time.monotonic() < deadline

    def close(self) -> None:
        self._sock.close()


def connection_of(w: World, ident: str) -> Connection:
    """The connection that a request's attempt is out on."""
    (live,) = [each for each in w.sidecar._live.values() if each.call.ident == ident]
    (exchange,) = live.out.values()
    assert exchange is not None and exchange.connection is not None
    return exchange.connection


async def rested_everywhere(w: World) -> None:
    """Let each server have a connection that carries nothing: what is sent next is written at once."""
    w.sidecar._upstream._idle_connections.reuse_delay_s = 0.0
    while not all(each.writers for each in w.servers):
        assert (await w.ask())[0] == 200


# -- A client leaves x its request, which waited, is sent on


def test_a_client_leaves_while_it_waits_to_be_accepted_or_read() -> None:
    async def scene() -> None:
        async with world(served) as w:
            address = w.sidecar.frontend.address
            unread = Client(address, b"")
            await until(lambda: w.sidecar.frontend.connections)
            w.sidecar.frontend._pause()
            queued = Client(address, request(X_Call_Id="queued"))
            unread.send(request(X_Call_Id="unread"))
            for each in (queued, unread):
                each.leave()
            w.sidecar.frontend._accept_again()
            assert (await w.ask(X_Call_Id="next"))[0] == 200  # it was queued behind them
            await until(lambda: not w.sidecar._live)
            assert [head["x-call-id"] for _, head, _ in w.sent()] == ["next"]
            for each in (queued, unread):
                each.close()

    play(scene())


def test_a_client_leaves_as_the_connection_for_its_request_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    dialled, go_on = asyncio.Event(), asyncio.Event()
    connect = server_connection.connect

    async def held_up(*given: object) -> Connection:
        connection = await connect(*given)  # type: ignore[arg-type]
        dialled.set()
        await go_on.wait()
        return connection

    async def scene() -> None:
        async with world(served) as w:
            monkeypatch.setattr(connection_dialer, "connect", held_up)
            client = Client(w.sidecar.frontend.address, request("pay", body=b"x"))
            await dialled.wait()
            client.leave()
            go_on.set()  # the dial is next in the loop, ahead of what the client's socket holds
            await until(lambda: not w.sidecar._live)
            assert (await w.ask(kind="pay", body=b"next", X_Call_Id="next"))[0] == 200
            assert [body for _, _, body in w.sent()] == [b"next"]
            # The connection was kept for others, and is counted once.
            assert w.sidecar._upstream.open_connections == len(w.sidecar._upstream.servers["s-0"].idle)
            client.close()

    play(scene())


def test_a_client_leaves_as_its_request_is_drawn_anew() -> None:
    async def scene() -> None:
        async with world(served, served) as w:
            await rested_everywhere(w)
            for each in w.servers:
                each.script = hung
            before = len(w.sent())
            client = Client(w.sidecar.frontend.address, request())
            await until(lambda: len(w.sent()) == before + 1)
            client.leave()
            connection_of(w, "9b1f03aa5c7e2d41").data_received(full())  # read before the client's end
            await until(lambda: not w.sidecar._live)
            assert (await w.ask(path="/health/ready"))[0] == 200  # the loop has had its turns
            assert len(w.sent()) == before + 1
            client.close()

    play(scene())


def test_a_client_leaves_as_its_request_comes_to_its_turn() -> None:
    classes = [each | {"ordered_by_key": True} for each in CLASSES]

    async def scene() -> None:
        async with world(hung, classes=classes) as w:
            w.sidecar._upstream._idle_connections.reuse_delay_s = 0.0  # what is free is used at once
            first = Client(w.sidecar.frontend.address, request(X_Call_Id="first"))
            await until(w.sent)
            second = Client(w.sidecar.frontend.address, request(X_Call_Id="second"))
            await until(lambda: len(w.sidecar._live) == 2)
            second.leave()
            connection_of(w, "first").data_received(served())
            await until(lambda: not w.sidecar._live)
            assert [head["x-call-id"] for _, head, _ in w.sent()] == ["first"]
            first.close()
            second.close()

    play(scene())


@pytest.mark.parametrize("left", [True, False])
def test_a_client_leaves_as_its_long_request_is_half_written(left: bool) -> None:
    # With the last byte a server begins, and a busy event loop may write it long after the client left.
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            servers = ConnectionPool(600.0, 600.0, 10)
            servers.update("s", listener.getsockname()[:2], None, ServerState.READY)
            data = message(b"POST / HTTP/1.1", [(b"Content-Length", b"8000000")], bytes(8_000_000))
            orders = [data, None if left else data]
            heard: list[Outcome] = []
            exchange = servers.send(
                "s", DeferredRequest(lambda _: orders.pop(0)), LATER, lambda end, _: heard.append(end)
            )
            accepted, _ = await loop.sock_accept(listener)
            with accepted:
                await until(lambda: exchange.connection is not None)
                assert not exchange.is_written() and len(orders) == 1
                got = 0
                while got < len(data) - left:
                    got += len(await loop.sock_recv(accepted, 1 << 20))
                if left:
                    await until(lambda: heard)
                    with contextlib.suppress(ConnectionError):
                        assert await loop.sock_recv(accepted, 10) == b""
                    assert heard == [Outcome.NOT_SENT]
                else:
                    await loop.sock_sendall(accepted, served())
                    await until(lambda: heard)
                    assert heard == [Outcome.SUCCEEDED]
            assert orders == []

    play(scene())


@pytest.mark.parametrize("leaves", [False, True])
def test_a_client_leaves_as_its_request_waits_for_probes(
    leaves: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    made: list[Connection] = []
    connect = server_connection.connect

    async def noted(
        address: Address, body_most: int, stall_s: float | None = None, sock: socket.socket | None = None
    ) -> Connection:
        made.append(await connect(address, body_most, stall_s, sock))
        return made[-1]

    monkeypatch.setattr(connection_dialer, "connect", noted)
    report = {"source": "probes", "columns": ["inflight"]}

    def holds_probes(first: str, *_: object) -> bytes | None:
        return None if "/stats" in first else served()

    async def scene() -> None:
        # Held until the probes' answers settle it: nothing has told yet how long probes take.
        classes = [each | {"deadline_us": 600 * S, "latency_target_us": 600 * S} for each in CLASSES]
        limits = LIMITS | {"allow_probes": True, "dial_timeout_us": 600 * S}
        changes: dict[str, Any] = {"classes": classes, "limits": limits, "prices": {"probe": 0.001}}
        async with world(holds_probes, holds_probes, report=report, **changes) as w:
            w.sidecar._upstream._idle_connections.reuse_delay_s = 0.0  # what was probed is written at once
            client = Client(w.sidecar.frontend.address, request(budget="500"))
            await until(lambda: len(w.sent()) == 2)
            if leaves:
                client.leave()
            for probed in made:
                if not probed.is_idle() and probed.request_written:  # read before the client's end
                    probed.data_received(answer(200, b'{"inflight": 1}'))
            await until(lambda: not w.sidecar._live)
            begun = [first for first, _, _ in w.sent() if "/stats" not in first]
            assert len(begun) == (not leaves)
            client.close()

    play(scene())


async def flood(w: World, held: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request that is held at its server, and then more than is kept."""
    reader, writer = await w.connect()
    writer.write(held)
    await until(w.sent)
    ahead = request("pay", body=bytes(60_000), X_Call_Id="ahead")
    writer.write(ahead * 50)  # more than the kernel holds
    return reader, writer


def test_a_client_that_has_sent_far_ahead_leaves_while_its_request_is_held() -> None:
    async def scene() -> None:
        async with world(hung) as w:
            _, writer = await flood(w, request("pay", body=b"held", budget="500"))
            writer.close()  # its end comes behind all that
            await until(lambda: w.servers[0].closed == 1)
            assert not w.sidecar._live and len(w.sent()) == 1

    play(scene())


def test_a_client_that_has_sent_far_ahead_gets_its_answer_and_an_end() -> None:
    async def scene() -> None:
        async with world(hung) as w:
            reader, writer = await flood(w, request("pay", body=b"held", budget="500"))
            (connection,) = w.sidecar.frontend.connections
            await until(lambda: connection._dropped)
            w.servers[0].writers[0].write(served())
            status, headers, body = await read_answer(reader)
            assert (status, headers["connection"], body) == (200, "close", b"served")
            assert await is_closed(reader)
            assert len(w.sent()) == 1
            writer.close()

    play(scene())


def test_a_client_that_never_ends_behind_a_held_request_gets_its_answer_and_an_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sidecar.proxy.frontend._DROPPED_MOST", 1024 * 1024)

    async def scene() -> None:
        async with world(hung) as w:
            reader, writer = await flood(w, request("pay", body=b"held", budget="500"))
            status, headers, _ = await read_answer(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert await is_closed(reader)
            await until(lambda: w.servers[0].closed == 1)
            writer.close()

    play(scene())


# -- A second answer to one request x the next request on its connection


def test_a_second_answer_crosses_the_next_request_where_connections_are_scarce() -> None:
    async def scene() -> None:
        async with world(hung, sockets=66) as w:  # room for one connection to servers
            w.sidecar._upstream._idle_connections.reuse_delay_s = 600.0
            (server,) = w.servers

            def answered_twice(first: str, *_: object) -> bytes:
                if len(server.writers) == 1 and len(server.requests) == 2:
                    server.writers[0].write(answer(200, b"again to the first"))
                return answer(200, first.encode())

            server.script = answered_twice
            for number in range(3):
                status, _, body = await w.ask(path=f"/api/{number}", X_Call_Id=f"{number}")
                assert (status, body) == (200, f"GET /api/{number} HTTP/1.1".encode())

    play(scene())


# -- A whole list is fetched x a watch tells of more


def test_a_slow_snapshot_arrives_after_the_delta_of_a_watch() -> None:
    async def scene() -> None:
        async with world(served) as w:
            await until(lambda: w.discovery.called(1))
            w.sidecar._discovery.fetch()
            await until(lambda: w.discovery.called(2))
            (server,) = w.servers
            state = w.sidecar._balancer._context.registry.servers["s-0"]
            w.discovery.say(43, [server.entry(status="leaving")])  # to the watch
            await until(lambda: state.state is ServerState.DRAINING)
            await until(lambda: w.discovery.called(3))  # it goes on
            w.discovery.say(42, [server.entry()], snapshot=True)  # to the fetch, which was called before it
            await until(lambda: not w.sidecar._discovery._fetches)
            assert state.state is ServerState.DRAINING
            w.discovery.say(44, [])
            await until(lambda: w.discovery.called(4))
            watched = [each.split("&")[0] for each in w.discovery.targets if "after" in each]
            assert watched == [f"/registry/instances?after={index}" for index in (41, 43, 44)]

    play(scene())


# -- A new connection x an answer that is still being written, where connections are scarce


def test_a_new_connection_comes_while_an_answer_is_still_being_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(_LIMITS_S, Phase.LEAVING, 600.0)

    async def scene() -> None:
        async with world(hung, sockets=66) as w:  # room for one client
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            slow.setblocking(False)
            await asyncio.get_running_loop().sock_connect(slow, w.sidecar.frontend.address)
            slow.send(request(budget="500"))
            await until(w.sent)
            (connection,) = w.sidecar.frontend.connections
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            w.servers[0].script = served
            w.servers[0].writers[0].write(answer(200, bytes(60_000)))
            await until(lambda: connection._stuck and w.sidecar.frontend._accepting)
            reader, writer = await w.connect()
            writer.write(request(X_Call_Id="new"))
            await until(lambda: not w.sidecar.frontend._accepting)  # it came, and there was no room
            slow_reader, slow_writer = await asyncio.open_connection(sock=slow)
            assert (await read_answer(slow_reader))[2] == bytes(60_000)
            assert (await read_answer(reader))[2] == b"served"
            for each in (slow_writer, writer):
                each.close()

    play(scene())


# -- SIGTERM x connections that wait to be accepted


def test_a_drain_stops_listening_while_a_connection_waits_for_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(driver, "_ACCEPT_S", 0.0)
    monkeypatch.setattr(driver, "_DEADLINE_MOST_S", 600.0)

    async def scene() -> None:
        async with world(hung, sockets=66) as w:  # room for one client
            held, held_writer = await w.connect()
            held_writer.write(request("pay", body=b"held", budget="500"))
            await until(w.sent)
            await until(lambda: w.sidecar.frontend._accepting)
            waiting, waiting_writer = await w.connect()
            waiting_writer.write(request("pay", body=b"waits", budget="500", X_Call_Id="waits"))
            await until(lambda: not w.sidecar.frontend._accepting)  # there was no room for it
            drained = asyncio.create_task(w.sidecar._drain())
            await until(lambda: w.sidecar.frontend.draining)
            w.servers[0].script = served
            w.servers[0].writers[0].write(served())
            for reader in (held, waiting):
                status, headers, body = await read_answer(reader)
                assert (status, headers["connection"], body) == (200, "close", b"served")
            for each in (held_writer, waiting_writer):
                each.close()
            await drained
            assert w.sidecar.frontend._sock.fileno() < 0

    play(scene())


# -- An answer x its request, which is still being written


def test_an_answer_that_comes_before_its_request_is_written_is_no_answer_to_it() -> None:
    early = Response(200, [], b"again to the one before")
    assert classify_outcome(early, written=False, protocol_error=False) is Outcome.CONNECT_FAILED
    assert classify_outcome(early, written=True, protocol_error=False) is Outcome.SUCCEEDED
    away = Response(503, [(b"x-rejected", b"1")], b"")
    assert (
        classify_outcome(away, written=False, protocol_error=False) is Outcome.REJECTED
    )  # a server may say so unasked


# -- The list tells of a server's new place x a connection to its old one comes up


def test_a_server_moves_while_a_connection_to_its_old_place_is_dialled() -> None:
    async def scene() -> None:
        with deaf() as address:
            servers = ConnectionPool(600.0, 600.0, 10)
            servers.update("s", address, None, ServerState.READY)
            heard: list[Outcome] = []
            servers.send("s", EncodedRequest(b""), LATER, lambda outcome, _: heard.append(outcome))
            servers.update("s", ("127.0.0.1", 9), None, ServerState.READY)
            assert heard == [Outcome.NOT_SENT]  # which is no strike against the server
            await until(lambda: servers.open_connections == 0)

    play(scene())


# -- The list tells of a drain x a request that is drawn for its server


def test_a_dial_ends_with_the_drain_of_its_server_and_the_next_in_turn_is_drawn_for_it() -> None:
    # The end of the dial reaches the balancer ahead of the list, and lets the next request of its key out.
    classes = [each | {"ordered_by_key": True} for each in CLASSES]
    limits = LIMITS | {"max_attempts": 1, "dial_timeout_us": 600 * S}

    async def scene() -> None:
        with deaf() as address:
            async with world(served, classes=classes, limits=limits) as w:
                w.sidecar._upstream.update("s-0", address, None, ServerState.READY)
                outs = [
                    asyncio.create_task(w.ask(kind="pay", body=b"x", X_Call_Id=each, budget="500"))
                    for each in ("first", "second")
                ]
                await until(lambda: len(w.sidecar._live) == 2)
                where = "{}:{}".format(*address)
                entry = w.servers[0].entry(status="leaving", address=where)
                w.sidecar._told(parse_registry({"index": 42, "endpoints": [entry]}))
                dialling = w.sidecar._upstream.servers["s-0"].dialing
                assert not dialling
                assert {(await each)[0] for each in outs} == {503}

    play(scene())


# -- An attempt's end x its answer


async def written(server: FakeServer) -> tuple[ConnectionPool, Exchange, Connection, list[Outcome]]:
    """An attempt that is written to a server which does not answer by itself, and what is heard of it."""
    await server.start()
    upstream = ConnectionPool(600.0, 600.0, 10)
    upstream.update("s", server.address, None, ServerState.READY)
    heard: list[Outcome] = []
    get = message(b"GET /api/1 HTTP/1.1", [(b"Host", b"x")])
    exchange = upstream.send("s", EncodedRequest(get), LATER, lambda outcome, _: heard.append(outcome))
    await until(lambda: server.requests)
    assert exchange.connection is not None
    return upstream, exchange, exchange.connection, heard


ENDS: dict[str, tuple[Callable[[ConnectionPool, Exchange], None], list[Outcome]]] = {
    "its time is up": (lambda u, e: e.on_deadline(), [Outcome.TIMED_OUT]),
    "it is called off": (lambda u, e: u.cancel(e), [Outcome.CANCELLED]),
    "its connection breaks": (lambda u, e: e.connection.connection_lost(None), [Outcome.RESET]),  # type: ignore[union-attr]
}


@pytest.mark.parametrize("how", ENDS)
def test_an_attempt_ends_as_its_answer_comes(how: str) -> None:
    end, ended = ENDS[how]

    async def scene() -> None:
        for answer_first in (True, False):
            server = FakeServer("s", hung)
            upstream, exchange, connection, heard = await written(server)
            for step in (True, False) if answer_first else (False, True):
                if step:
                    connection.data_received(served())
                else:
                    end(upstream, exchange)
            assert heard == ([Outcome.SUCCEEDED] if answer_first else ended)
            # Where the answer was last, nobody knows whose the next one on that connection would be.
            assert connection.is_idle() is (answer_first and how != "its connection breaks")
            server.stop()

    play(scene())


def test_an_attempt_that_is_given_up_is_out_no_more_as_the_next_one_is_written() -> None:
    # Guards rule 2 where second copies are not allowed: the end of one decides on the next in the same turn.
    async def scene() -> None:
        server = FakeServer("s", hung)
        upstream, exchange, _, heard = await written(server)
        upstream.cancel(exchange)
        assert heard == [Outcome.CANCELLED]
        # The event loop has had no turn since.
        assert has_ended(server.writers[0].get_extra_info("socket"))
        server.stop()

    play(scene())


def test_an_idle_connection_s_time_is_up_as_the_next_request_takes_it() -> None:
    async def scene() -> None:
        server = FakeServer("s", served)
        upstream, _, connection, heard = await written(server)
        await until(lambda: heard)
        upstream._idle_connections.reuse_delay_s = 0.0
        timer = upstream.servers["s"].idle[0].close_timer
        server.script = hung
        upstream.send(
            "s", EncodedRequest(b"GET / HTTP/1.1\r\n\r\n"), LATER, lambda outcome, _: heard.append(outcome)
        )
        timer._run()  # it was due in the same turn of the loop
        await until(lambda: len(server.requests) == 2)
        connection.data_received(served())
        assert heard == [Outcome.SUCCEEDED, Outcome.SUCCEEDED] and len(server.writers) == 1
        server.stop()

    play(scene())


def test_a_client_has_left_as_its_request_takes_an_idle_connection() -> None:
    # Kept as if it had just been used, the connection would be held for longer than its server holds it.
    async def scene() -> None:
        server = FakeServer("s", served)
        upstream, _, connection, heard = await written(server)
        await until(lambda: heard)
        upstream._idle_connections.reuse_delay_s = 0.0
        upstream.send("s", DeferredRequest(lambda _: None), LATER, lambda outcome, _: heard.append(outcome))
        assert heard == [Outcome.SUCCEEDED, Outcome.NOT_SENT]
        assert not upstream.servers["s"].idle and not connection.is_idle()
        await until(lambda: upstream.open_connections == 0)
        server.stop()

    play(scene())


# -- A server closes an idle connection x another takes its place


def test_idle_connections_that_their_server_has_closed_make_no_room() -> None:
    async def scene() -> None:
        idle, busy = FakeServer("a", served), FakeServer("s", hung)
        servers = ConnectionPool(600.0, 600.0, 2)
        for each in (idle, busy):
            await each.start()
            servers.update(each.name, each.address, None, ServerState.READY)
        heard: list[Outcome] = []

        def send(name: str) -> None:
            get = message(b"GET / HTTP/1.1", [(b"Host", b"x")])
            servers.send(name, EncodedRequest(get), LATER, lambda outcome, _: heard.append(outcome))

        send("a")
        await until(lambda: heard)
        idle.stop()
        await until(lambda: not servers.open_connections)  # and still noted as idle
        for _ in range(3):
            send("s")
        assert servers.open_connections == 2 and heard == [Outcome.SUCCEEDED, Outcome.CONNECT_FAILED]
        await until(lambda: len(busy.requests) == 2)
        busy.stop()

    play(scene())


# -- SIGHUP x an answer of discovery's former place


def test_discovery_moves_as_its_former_place_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        heard: list[RegistryResponse | None] = []
        called: list[tuple[Address, str, asyncio.Future[Response]]] = []

        async def call(self: Discovery, target: str, _: asyncio.Timeout) -> Response:
            called.append((self._address, target, asyncio.get_running_loop().create_future()))
            return await called[-1][2]

        monkeypatch.setattr(Discovery, "_call", call)
        discovery = Discovery(("127.0.0.1", 1), 41, heard.append)
        discovery.follow(True)
        await until(lambda: called)
        called[0][2].set_result(Response(200, [], b'{"index": 99, "snapshot": true, "endpoints": []}'))
        discovery.move(("127.0.0.1", 2))  # before the watch had a turn
        await until(lambda: len(called) == 2)
        assert heard == [] and called[1][:2] == (("127.0.0.1", 2), "/registry/instances")
        called[1][2].set_result(Response(200, [], b'{"index": 7, "snapshot": true, "endpoints": []}'))
        await until(lambda: len(called) == 3)
        assert [told and told.version for told in heard] == [7]
        assert called[2][1].startswith("/registry/instances?after=7&")
        discovery.stop()

    play(scene())
