"""Bodies in very small chunks take long to parse; that must not delay anything else."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest
from parsing_cost import LAST_CHUNK, ParsingCost, chunked_request, chunked_response
from proxy_harness import (
    TIMEOUT_S,
    FakeServer,
    Headers,
    ProxyHarness,
    never_respond,
    read_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
    wait_until,
)
from virtual_time import advance, now_s, run_in_virtual_time

from sidecar.proxy import sockets
from sidecar.proxy.client_connection import ClientConnection
from sidecar.proxy.http_messages import Response
from sidecar.proxy.parsing_queue import parsing_queue
from sidecar.proxy.server_connection import connect

EVENT_S = 70e-6  # ten times what an event takes, for a tenth of the chunks
BODY = bytes(range(256)) * 24  # its chunks take 0.43 s
PEER_COUNT = 12
BUDGET_S = 1.0
MAX_LATENESS_S = 0.5  # a request that is answered later after its time counts as lost
BAD_CLIENT_TIMEOUT_S = 3.0  # within this time a client that breaks the protocol gets an error or a close


async def check_other_requests(proxy: ProxyHarness, duration_s: float) -> None:
    """Send requests for a while, and check that each is answered in its time."""
    until_s = now_s() + duration_s
    while now_s() < until_s:
        sent_at = now_s()
        status, _, _ = await proxy.send_request(budget=f"{BUDGET_S}")
        assert now_s() < sent_at + BUDGET_S + MAX_LATENESS_S
        assert status == 200
        await advance(0.05)


async def send_and_stop(proxy: ProxyHarness) -> None:
    """Send a request without its end, and check that an error comes in time."""
    reader, writer = await proxy.connect()
    started_at = now_s()
    writer.write(chunked_request(BODY))
    raw_response = await asyncio.wait_for(reader.read(), TIMEOUT_S)
    assert raw_response.startswith(b"HTTP/1.1 408 ")
    assert raw_response.endswith(b"too many small chunks\n")
    assert now_s() < started_at + BAD_CLIENT_TIMEOUT_S
    writer.close()


# Guards against requests that are never answered while bad clients send very small chunks (review/1).
def test_clients_that_send_small_chunks_and_stop_delay_no_other_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            ParsingCost(monkeypatch, EVENT_S)
            async with asyncio.TaskGroup() as tasks:
                for _ in range(PEER_COUNT):
                    tasks.create_task(send_and_stop(proxy))
                await check_other_requests(proxy, duration_s=4.0)
            assert all(body == b"" for _, _, body in proxy.server_requests())

    run_in_virtual_time(scenario())


# Guards against new connections that wait for capacity until the time limit of such clients has passed.
def test_clients_that_send_small_chunks_do_not_use_up_the_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, sockets=80) as proxy:
            assert proxy.sidecar.frontend.table.capacity < PEER_COUNT
            ParsingCost(monkeypatch, EVENT_S)
            async with asyncio.TaskGroup() as tasks:
                for _ in range(PEER_COUNT):
                    tasks.create_task(send_and_stop(proxy))
                await check_other_requests(proxy, duration_s=4.0)

    run_in_virtual_time(scenario())


# Guards against taking a response for incomplete because it waits to be parsed.
def test_response_in_small_chunks_is_served_if_parsing_takes_longer_than_a_dial_may(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        limits = {"max_attempts": 1, "allow_hedging": False, "dial_timeout_us": 120_000}
        async with running_proxy(lambda *_: chunked_response(BODY), limits=limits) as proxy:
            ParsingCost(monkeypatch, EVENT_S)
            status, _, body = await proxy.send_request(kind="pay", budget="500")
            assert (status, body) == (200, BODY)

    run_in_virtual_time(scenario())


# Guards against requests that are never answered while servers respond in very small chunks.
def test_servers_that_respond_in_small_chunks_delay_no_other_request(monkeypatch: pytest.MonkeyPatch) -> None:
    def respond(request_line: str, _headers: Headers, _body: bytes) -> bytes:
        return chunked_response(BODY) if request_line.startswith("POST") else respond_ok()

    async def scenario() -> None:
        limits = {"max_attempts": 1, "allow_hedging": False, "dial_timeout_us": 60_000_000}
        async with running_proxy(respond, respond, limits=limits) as proxy:
            ParsingCost(monkeypatch, EVENT_S)
            async with asyncio.TaskGroup() as tasks:
                address = proxy.sidecar.frontend.address
                slow = [
                    tasks.create_task(send_request(address, request("pay", X_Call_Id=f"{n}", budget="500")))
                    for n in range(PEER_COUNT)
                ]
                await check_other_requests(proxy, duration_s=4.0)
            assert [task.result()[::2] for task in slow] == [(200, BODY)] * PEER_COUNT

    run_in_virtual_time(scenario())


def has_read(connection: ClientConnection, byte_count: int) -> bool:
    """Return whether this number of bytes has been read behind the request in flight."""
    return len(connection._reader.unread) == byte_count


@pytest.mark.parametrize("piece_bytes", [1000, 1_000_000])
def test_complete_request_in_small_chunks_is_served_unchanged(piece_bytes: int) -> None:
    async def scenario() -> None:
        body = bytes(range(256)) * 200  # more than one read holds
        data = chunked_request(body) + LAST_CHUNK
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            for start in range(0, len(data), piece_bytes):
                writer.write(data[start : start + piece_bytes])
                await writer.drain()
            assert (await read_response(reader))[0] == 200
            assert proxy.server_requests()[0][2] == body
            writer.write(request(X_Call_Id="next"))  # the connection is read again
            assert (await read_response(reader))[0] == 200
            writer.close()

    run_scenario(scenario())


# Guards against an attempt that gets time which has passed while its request waited to be parsed.
def test_time_that_parsing_took_is_deducted_from_the_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            ParsingCost(monkeypatch, EVENT_S)
            data = chunked_request(BODY, budget="2.0") + LAST_CHUNK
            assert (await send_request(proxy.sidecar.frontend.address, data))[0] == 200
            _, headers, _ = proxy.server_requests()[0]
            assert float(headers["x-budget"]) <= 2.0 - EVENT_S * len(BODY)

    run_in_virtual_time(scenario())


# Guards against deducting the time between two requests on a connection from the second one.
def test_later_request_on_the_connection_has_its_whole_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            ParsingCost(monkeypatch, EVENT_S)
            reader, writer = await proxy.connect()
            writer.write(chunked_request(BODY, X_Call_Id="first") + LAST_CHUNK)
            assert (await read_response(reader))[0] == 200
            await advance(1.5)
            writer.write(request(budget="1.0"))
            assert (await read_response(reader))[0] == 200
            _, headers, _ = proxy.server_requests()[1]
            assert float(headers["x-budget"]) > 0.9
            writer.close()

    run_in_virtual_time(scenario())


# Guards against deducting the time since a pause from a request that arrives long after it.
def test_request_long_after_pipelined_ones_has_its_whole_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(sockets, "_READ_BUFFER", memoryview(bytearray(1024)))
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            # The first request pauses reading twice; when it is complete, a part of the second one is unread.
            first = chunked_request(bytes(200), X_Call_Id="first") + LAST_CHUNK
            writer.write(first + request("pay", body=bytes(2000), X_Call_Id="second"))
            for _ in range(2):
                assert (await read_response(reader))[0] == 200
            await advance(1.5)
            writer.write(request(budget="1.0"))
            assert (await read_response(reader))[0] == 200
            writer.close()

    run_in_virtual_time(scenario())


# Guards against an attempt for a client that has left while its request waited to be parsed.
def test_request_whose_client_leaves_while_it_is_parsed_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            cost = ParsingCost(monkeypatch)
            _, writer = await proxy.connect()
            writer.write(chunked_request(BODY) + LAST_CHUNK)
            await wait_until(lambda: cost.events)
            assert cost.events < len(BODY)
            writer.close()
            await wait_until(proxy.sidecar.frontend.has_no_connections)
            assert not proxy.server_requests()
            assert cost.events < len(BODY)

    run_scenario(scenario())


# Guards against parsing all that a client has pipelined again with each further piece.
def test_pipelined_data_in_pieces_is_parsed_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            reader, writer = await proxy.connect()
            writer.write(request("pay", body=b"held", budget="500", X_Call_Id="held"))
            await wait_until(proxy.server_requests)
            cost = ParsingCost(monkeypatch)
            data = chunked_request(BODY) + LAST_CHUNK
            (connection,) = proxy.sidecar.frontend.connections
            for start in range(0, len(data), 500):
                writer.write(data[start : start + 500])
                await wait_until(partial(has_read, connection, min(start + 500, len(data))))
            # Each chunk is one event; each piece may end before an event is complete.
            assert cost.events <= len(BODY) + 2 * len(data) / 500 + 10
            proxy.servers[0].script = respond_ok
            proxy.servers[0].writers[0].write(respond_ok())
            assert (await read_response(reader))[0] == 200
            assert (await read_response(reader))[0] == 200
            assert proxy.server_requests()[1][2] == BODY
            writer.close()

    run_in_virtual_time(scenario())


# Guards against the response to a request that has been given up.
def test_rest_of_a_response_is_not_parsed_after_its_connection_is_aborted() -> None:
    async def scenario() -> None:
        server = FakeServer("s", lambda *_: chunked_response(BODY))
        await server.start()
        connection = await connect(server.address, len(BODY))
        responses: list[Response | None] = []
        connection.request(request(), responses.append)
        await wait_until(lambda: len(parsing_queue()))
        connection.abort()
        assert not len(parsing_queue())
        await wait_until(lambda: responses)
        assert responses == [None]
        server.stop()

    run_scenario(scenario())
