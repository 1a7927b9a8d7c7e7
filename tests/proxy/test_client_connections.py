"""Client connections: pipelined requests, time limits and closes."""

from __future__ import annotations

import asyncio
import socket

import pytest
from proxy_harness import (
    TIMEOUT_S,
    encode_response,
    never_respond,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_for_eof,
    wait_until,
)
from virtual_time import now_s, run_in_virtual_time

from sidecar.proxy.client_connection import ClientConnection
from sidecar.proxy.connection_state import ConnectionState

BAD_CLIENT_TIMEOUT_S = 3.0  # a client that violates the protocol gets an error or a close by then
PIPELINED = {"junk": b"\x00\x01 junk\r\n\r\n", "half a request": b"GET /half"}


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario() -> None:
        async with running_proxy(lambda first, *_: encode_response(200, first.encode())) as proxy:
            reader, writer = await proxy.connect()
            writer.write(
                b"".join(request(path=f"/api/{number}", X_Call_Id=f"{number}") for number in range(20))
            )
            for number in range(20):
                assert f"/api/{number} " in (await read_response(reader))[2].decode()
            writer.close()

    run_scenario(scenario())


def test_connection_with_an_unread_request_is_not_idle() -> None:
    # Guards against closing a connection whose request has reached the kernel but has not been read yet.
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            _, writer = await proxy.connect()
            await wait_until(lambda: proxy.sidecar.frontend.connections)
            connection: ClientConnection = next(iter(proxy.sidecar.frontend.connections))
            assert connection.is_idle()
            peer = writer.get_extra_info("socket")
            duplicate = socket.socket(fileno=socket.dup(peer.fileno()))
            duplicate.send(request())  # the event loop does not run before the next check
            assert not connection.is_idle()
            duplicate.close()
            writer.close()

    run_scenario(scenario())


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
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            writer.write(sent)
            assert (await asyncio.wait_for(reader.read(), TIMEOUT_S)).startswith(expected)
            await wait_until(lambda: not proxy.sidecar.frontend.connections)
            writer.close()

    run_scenario(scenario())


@pytest.mark.parametrize("pipelined", PIPELINED.values(), ids=PIPELINED)
def test_request_in_flight_gets_its_response_whatever_is_pipelined_behind_it(pipelined: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"held"))
            await wait_until(proxy.server_requests)
            writer.write(pipelined)
            (connection,) = proxy.sidecar.frontend.connections
            await wait_until(lambda: connection.state is ConnectionState.READING_PIPELINED)
            proxy.servers[0].writers[0].write(respond_ok())
            status, _, body = await read_response(reader)
            assert (status, body) == (200, b"served")
            rest = await asyncio.wait_for(reader.read(), TIMEOUT_S)
            assert rest.partition(b"\r\n")[0] in (b"HTTP/1.1 408 ", b"")
            assert bool(rest) is (pipelined == PIPELINED["half a request"])
            assert len(proxy.server_requests()) == 1
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("pipelined", PIPELINED.values(), ids=PIPELINED)
def test_request_still_in_flight_when_bad_pipelined_data_times_out_fails(pipelined: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"held"))
            await wait_until(proxy.server_requests)
            began = now_s()
            writer.write(pipelined)
            status, headers, _ = await read_response(reader)
            assert (status, headers["connection"]) == (500, "close")
            assert await wait_for_eof(reader)
            assert now_s() < began + BAD_CLIENT_TIMEOUT_S
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)  # the attempt has been aborted
            assert (await proxy.send_request(kind="look", path="/health/ready"))[0] == 200
            writer.close()

    run_in_virtual_time(scenario())


def test_response_to_a_client_that_has_just_closed_ends_only_its_connection() -> None:
    async def scenario() -> None:
        async with running_proxy(lambda *_: None) as proxy:
            client = socket.create_connection(proxy.sidecar.frontend.address)
            client.sendall(request("pay", body=b"held", Connection="close"))
            await wait_until(proxy.server_requests)
            (connection,) = proxy.sidecar.frontend.connections
            pending = connection._request
            assert pending is not None
            client.close()
            pending.responder.respond(200, [], b"done")  # before the event loop processes the close
            await wait_until(lambda: not proxy.sidecar.frontend.connections)

    run_scenario(scenario())
