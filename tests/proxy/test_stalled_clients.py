"""Clients that stop in the middle of a request and stay connected get an error or a close in time."""

from __future__ import annotations

import asyncio

import pytest
from proxy_harness import (
    TIMEOUT_S,
    never_respond,
    read_response,
    request,
    respond_ok,
    running_proxy,
    wait_for_eof,
    wait_until,
)
from virtual_time import advance, now_s, run_in_virtual_time

BAD_CLIENT_TIMEOUT_S = 3.0  # within this time a client that breaks the protocol gets an error or a close

COMPLETE_REQUEST = request("pay", body=b"whole")
EXPECT_CONTINUE_REQUEST = request("pay", body=b"whole", Expect="100-continue")
CHUNKED_HEAD = request("pay", Content_Length=None, Transfer_Encoding="chunked")
PARTIAL_REQUESTS = {
    "a byte": b"P",
    "half a first line": COMPLETE_REQUEST[:12],
    "half a head": COMPLETE_REQUEST[:-20],
    "a head": COMPLETE_REQUEST[:-5],
    "half a body": COMPLETE_REQUEST[:-2],
    "a head that expects to go on": EXPECT_CONTINUE_REQUEST[:-5],
    "half a body after going on": EXPECT_CONTINUE_REQUEST[:-2],
    "a chunked head": CHUNKED_HEAD,
    "half a chunk": CHUNKED_HEAD + b"5\r\nwho",
    "no last chunk": CHUNKED_HEAD + b"5\r\nwhole\r\n",
}


@pytest.mark.parametrize("earlier_requests", [0, 3], ids=["first", "after others"])
@pytest.mark.parametrize("partial_request", PARTIAL_REQUESTS.values(), ids=PARTIAL_REQUESTS)
def test_client_that_stops_within_a_request_gets_an_error_in_time(
    partial_request: bytes, earlier_requests: int
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            for number in range(earlier_requests):
                writer.write(request(X_Call_Id=f"{number}"))
                assert (await read_response(reader))[0] == 200
                await advance(0.5)
            started_at = now_s()
            writer.write(partial_request)
            raw_response = await asyncio.wait_for(reader.read(), TIMEOUT_S)
            assert now_s() < started_at + BAD_CLIENT_TIMEOUT_S
            assert b"HTTP/1.1 408 " in raw_response
            assert (b"HTTP/1.1 100 " in raw_response) is (
                b"Expect" in partial_request and b"\r\n\r\n" in partial_request
            )
            await wait_until(proxy.sidecar.frontend.has_no_connections)
            assert len(proxy.server_requests()) == earlier_requests
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("pause_s", [0.2, 0.9])
def test_client_that_trickles_a_request_and_stops_gains_no_time(pause_s: float) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            started_at = now_s()
            for piece in (COMPLETE_REQUEST[:10], COMPLETE_REQUEST[10:20]):
                writer.write(piece)
                await advance(pause_s)
            assert b"HTTP/1.1 408 " in await asyncio.wait_for(reader.read(), TIMEOUT_S)
            assert now_s() < started_at + BAD_CLIENT_TIMEOUT_S
            writer.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("response_after_s", [0.0, 0.5, 1.8])
@pytest.mark.parametrize("partial_request", PARTIAL_REQUESTS.values(), ids=PARTIAL_REQUESTS)
def test_client_that_stops_within_a_pipelined_request_gets_response_and_error_in_time(
    partial_request: bytes, response_after_s: float
) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"held"))
            await wait_until(proxy.server_requests)
            started_at = now_s()
            writer.write(partial_request)
            (connection,) = proxy.sidecar.frontend.connections
            await wait_until(connection.has_partial_request)
            await advance(response_after_s)
            proxy.servers[0].writers[0].write(respond_ok())
            status, _, body = await read_response(reader)
            assert (status, body) == (200, b"served")
            assert b"HTTP/1.1 408 " in await asyncio.wait_for(reader.read(), TIMEOUT_S)
            assert now_s() < started_at + BAD_CLIENT_TIMEOUT_S
            assert len(proxy.server_requests()) == 1
            writer.close()

    run_in_virtual_time(scenario())


def test_complete_pipelined_request_is_served_next() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"held", X_Call_Id="held"))
            await wait_until(proxy.server_requests)
            writer.write(COMPLETE_REQUEST[:30])
            (connection,) = proxy.sidecar.frontend.connections
            await wait_until(connection.has_partial_request)
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(respond_ok())
            assert (await read_response(reader))[0] == 200
            await advance(1.0)
            writer.write(COMPLETE_REQUEST[30:])
            assert (await read_response(reader))[0] == 200
            assert await wait_for_eof(reader)  # its idle time is over
            assert len(proxy.server_requests()) == 2
            writer.close()

    run_in_virtual_time(scenario())
