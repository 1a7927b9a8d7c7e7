"""Connections of clients: pipelined requests, time limits and closes."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import (
    PATIENCE_S,
    answer,
    hung,
    is_closed,
    play,
    read_answer,
    request,
    served,
    until,
    world,
)
from virtual_time import now_s, run_in_virtual_time

from sidecar.proxy.client_connection import ClientConnection
from sidecar.proxy.connection_state import ConnectionState

BAD_PEER_S = 3.0  # by when a client that breaks the protocol gets its error or a close
PIPELINED = {"junk": b"\x00\x01 junk\r\n\r\n", "half a request": b"GET /half"}


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scene() -> None:
        async with world(lambda first, *_: answer(200, first.encode())) as w:
            reader, writer = await w.connect()
            writer.write(
                b"".join(request(path=f"/api/{number}", X_Call_Id=f"{number}") for number in range(20))
            )
            for number in range(20):
                assert f"/api/{number} " in (await read_answer(reader))[2].decode()
            writer.close()

    play(scene())


def test_connection_with_an_unread_request_is_not_idle() -> None:
    # Guards against closing a connection whose request is in the kernel and has not been read yet.
    async def scene() -> None:
        async with world(served) as w:
            _, writer = await w.connect()
            await until(lambda: w.sidecar.frontend.connections)
            connection: ClientConnection = next(iter(w.sidecar.frontend.connections))
            assert connection.is_idle()
            peer = writer.get_extra_info("socket")
            peer_fd = socket.socket(fileno=socket.dup(peer.fileno()))
            peer_fd.send(request())  # within one step of the event loop
            assert not connection.is_idle()
            peer_fd.close()
            writer.close()

    play(scene())


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"", b""),
        (request(), b"HTTP/1.1 200 "),
        (request("pay", body=b"whole")[:20], b"HTTP/1.1 408 "),
        (request("pay", body=b"whole")[:-1], b"HTTP/1.1 408 "),
    ],
    ids=["silent", "idle", "half a head", "half a body"],
)
def test_silent_connection_is_closed(sent: bytes, expected: bytes) -> None:
    async def scene() -> None:
        async with world(served) as w:
            reader, writer = await w.connect()
            writer.write(sent)
            assert (await asyncio.wait_for(reader.read(), PATIENCE_S)).startswith(expected)
            await until(lambda: not w.sidecar.frontend.connections)
            writer.close()

    play(scene())


@pytest.mark.parametrize("pipelined", PIPELINED.values(), ids=PIPELINED)
def test_request_in_flight_gets_its_response_whatever_is_pipelined_behind_it(pipelined: bytes) -> None:
    async def scene() -> None:
        async with world(hung) as w:
            reader, writer = await w.connect()
            writer.write(request("pay", body=b"held"))
            await until(w.sent)
            writer.write(pipelined)
            (connection,) = w.sidecar.frontend.connections
            await until(lambda: connection.state is ConnectionState.READING_PIPELINED)
            w.servers[0].writers[0].write(served())
            status, _, body = await read_answer(reader)
            assert (status, body) == (200, b"served")
            ending = await asyncio.wait_for(reader.read(), PATIENCE_S)
            assert ending.partition(b"\r\n")[0] in (b"HTTP/1.1 408 ", b"")
            assert bool(ending) is (pipelined == PIPELINED["half a request"])
            assert len(w.sent()) == 1
            writer.close()

    run_in_virtual_time(scene())


@pytest.mark.parametrize("pipelined", PIPELINED.values(), ids=PIPELINED)
def test_request_still_in_flight_when_bad_pipelined_data_times_out_fails(pipelined: bytes) -> None:
    async def scene() -> None:
        async with world(hung) as w:
            reader, writer = await w.connect()
            writer.write(request("pay", body=b"held"))
            await until(w.sent)
            began = now_s()
            writer.write(pipelined)
            status, headers, _ = await read_answer(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert await is_closed(reader)
            assert now_s() < began + BAD_PEER_S
            await until(lambda: w.servers[0].closed == 1)  # nothing waits for the attempt
            assert (await w.ask(kind="look", path="/health/ready"))[0] == 200
            writer.close()

    run_in_virtual_time(scene())


def test_response_to_a_client_that_has_just_closed_ends_only_its_connection() -> None:
    async def scene() -> None:
        async with world(lambda *_: None) as w:
            client = socket.create_connection(w.sidecar.frontend.address)
            client.sendall(request("pay", body=b"held", Connection="close"))
            await until(w.sent)
            (connection,) = w.sidecar.frontend.connections
            held = connection._request
            assert held is not None
            client.close()
            held.responder.respond(200, [], b"done")  # before the event loop hears of the close
            await until(lambda: not w.sidecar.frontend.connections)

    play(scene())
