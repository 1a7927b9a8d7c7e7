"""Requests are parsed and validated: invalid ones are rejected and never forwarded."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from proxy_harness import (
    TIMEOUT_S,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
    wait_for_eof,
)

OVERSIZED_BODY = bytes(64 * 1024 + 1)


# Guards against forwarding requests that the proxy cannot parse or classify.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api/1 HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", 400),
        (b"GET /api/1 HTTP/1.1\r\nHost: x\r\nX-Long: " + bytes([97]) * 200_000 + b"\r\n\r\n", 400),
        (request(X_Call_Id=None), 400),
        (request(X_Call_Id=""), 400),
        (request(X_Call_Class=None), 400),
        (request(X_Budget=None), 400),
        (request(budget="soon"), 400),
        (request(budget="nan"), 400),
        (request(budget="-1"), 400),
        (request(X_Call_Cost="much"), 400),
        (request("amend", body=b"x", Idempotency_Key=None), 400),
        (request(Transfer_Encoding="chunked", Content_Length="5") + b"0\r\n\r\n", 400),
        (request(Transfer_Encoding="chunked", Content_Length=None).replace(b"P/1.1", b"P/1.0"), 400),
        (request("unheard-of"), 400),
        (request("look", method="POST"), 405),
        (request("pay", method="GET"), 405),
        (request("look", method="HEAD"), 405),
        (request("look", body=b"x"), 400),
        (request(X_Call_Id="x" * 257), 400),
        (request(budget="1_000"), 400),
        (request(budget="inf"), 400),
        (request(budget="1e2"), 400),
        (request(budget="1000"), 400),
        (request(budget="5.0\r\nX-Budget: 6.0"), 400),
        (request("look\r\nX-Call-Class: pay"), 400),
        (request(X_Caller="stranger"), 400),
        (request("pay", body=OVERSIZED_BODY), 413),
        (
            request("pay", Content_Length=None, Transfer_Encoding="chunked")
            + b"10001\r\n"
            + OVERSIZED_BODY
            + b"\r\n0\r\n\r\n",
            413,
        ),
        (request(path="/elsewhere"), 404),
        (request(path="/apix/1"), 404),
    ],
)
def test_invalid_request_is_rejected_and_never_forwarded(data: bytes, status: int) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, tenants=[{"name": "acme"}]) as proxy:
            reader, writer = await proxy.connect()
            writer.write(data)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
            assert head.startswith(b"HTTP/1.1 %d " % status)
            await asyncio.wait_for(reader.read(), TIMEOUT_S)  # until the connection is closed
            writer.close()
            assert (await proxy.send_request())[0] == 200  # the sidecar still serves requests
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


def test_body_of_the_largest_size_in_pieces_is_accepted() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            data = request("pay", body=OVERSIZED_BODY[:-1], Expect="100-continue")
            head = data.index(b"\r\n\r\n") + 4
            writer.write(data[:head])
            assert b" 100 " in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
            writer.write(data[head:])
            assert (await read_response(reader))[0] == 200
            assert proxy.server_requests()[0][2] == OVERSIZED_BODY[:-1]
            writer.close()

    run_scenario(scenario())


def test_rejection_arrives_while_the_body_is_still_being_sent() -> None:
    # Guards against closing a socket with unread bytes, which resets the connection and loses the response.
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=OVERSIZED_BODY * 64)[:-1])
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            assert (await read_response(reader))[0] == 413
            assert await wait_for_eof(reader)
            writer.close()

    run_scenario(scenario())


def test_http_1_0_request_without_a_host_is_served() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            data = request(Host=None).replace(b"HTTP/1.1", b"HTTP/1.0")
            assert (await send_request(proxy.sidecar.frontend.address, data))[0] == 200

    run_scenario(scenario())


def test_head_request_gets_no_body() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request(path="/elsewhere", method="HEAD"))
            raw_response = await asyncio.wait_for(reader.read(), TIMEOUT_S)
            assert raw_response.startswith(b"HTTP/1.1 404 ")
            assert raw_response.endswith(b"\r\n\r\n")
            writer.close()

    run_scenario(scenario())
