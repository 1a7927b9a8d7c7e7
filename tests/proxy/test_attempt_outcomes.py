"""What attempts forward, and what each outcome proves about whether the request was executed."""

from __future__ import annotations

import asyncio
import socket

import pytest
from pool_requests import encode_post, outcome_of, post_request
from proxy_harness import (
    TIMEOUT_S,
    FakeServer,
    encode_response,
    never_respond,
    request,
    reset,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
    wait_until,
)

from sidecar.balancer.actions import Action
from sidecar.balancer.events import AttemptEnded, Event, Outcome, ServerState
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.exchange import Exchange, classify_outcome
from sidecar.proxy.http_messages import Response
from sidecar.proxy.server_connection import connect


def test_request_and_response_are_forwarded_unchanged() -> None:
    async def scenario() -> None:
        body = bytes(range(256)) * 16
        async with running_proxy(lambda *_: encode_response(200, body, Content_Type="x/y")) as proxy:
            sent = request("amend", "/api/7f3a?q=1", b"\0body\xff", X_Caller="acme")
            status, headers, response_body = await send_request(proxy.sidecar.frontend.address, sent)
            assert (status, headers["content-type"], response_body) == (200, "x/y", body)
            ((request_line, sent_headers, sent_body),) = proxy.server_requests()
            assert request_line == "POST /api/7f3a?q=1 HTTP/1.1"
            assert sent_body == b"\0body\xff"
            assert sent_headers["x-call-id"] == "9b1f03aa5c7e2d41"
            assert sent_headers["idempotency-key"] == "5c0f6e1a"
            assert 0.0 < float(sent_headers["x-budget"]) < 5.0

    run_scenario(scenario())


# Guards against executing a non-idempotent request twice: it may be retried only if it certainly never ran.
@pytest.mark.parametrize(
    ("reply", "expected_status", "attempts"),
    [
        (encode_response(503, b"", X_Rejected="1"), 200, 2),
        (encode_response(504, b"", X_Rejected="1"), 200, 2),
        (encode_response(503, b""), 500, 1),
        (encode_response(500, b"", X_Rejected="1"), 500, 1),
        # Ambiguous rejections: with excess data, one of the responses may belong to another request; or the
        # headers contradict each other.
        (encode_response(503, b"", X_Rejected="1") + encode_response(200, b"served"), 500, 1),
        (encode_response(503, b"", X_Rejected="1") + encode_response(503, b"", X_Rejected="1"), 500, 1),
        (encode_response(503, b"", X_Rejected="1") + b"nonsense", 500, 1),
        (encode_response(503, b"", X_Rejected="1", x_rejected="0"), 500, 1),
        (b"", 500, 1),
        (b"HTTP/1.1 200 X\r\nContent-Length: 10\r\nConnection: close\r\n\r\nshort", 500, 1),
        (b"nonsense\r\n\r\n", 500, 1),
    ],
)
def test_non_idempotent_request_is_retried_only_if_it_never_ran(
    reply: bytes, expected_status: int, attempts: int
) -> None:
    async def scenario() -> None:
        replies = [reply]

        def reply_then_serve(*_: object) -> bytes:
            return replies.pop() if replies else encode_response(200, b"served")

        async with running_proxy(reply_then_serve, reply_then_serve, reply_then_serve) as proxy:
            status, _, body = await proxy.send_request(kind="pay", body=b"x")
            assert status == expected_status
            assert (body == b"served") == (expected_status == 200)
            assert len(proxy.server_requests()) == attempts

    run_scenario(scenario())


def test_non_idempotent_request_is_retried_after_a_refused_connection() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok) as proxy:
            proxy.servers[0].stop()
            for _ in range(3):
                assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 200

    run_scenario(scenario())


# Guards against forwarding a truncated response, which ends before the length or the last chunk announced.
@pytest.mark.parametrize(
    "truncated",
    [
        b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\nnot all of it",
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnot a\r\n",
    ],
)
def test_truncated_body_is_not_forwarded(truncated: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(lambda *_: truncated) as proxy:
            sending = asyncio.create_task(proxy.send_request(kind="pay", body=b"x"))
            await wait_until(proxy.server_requests)
            await asyncio.sleep(0)
            server = proxy.servers[0]
            await wait_until(lambda: server.writers)
            server.writers[0].close()
            assert (await sending)[0] == 500

    run_scenario(scenario())


MALFORMED = [
    b"nonsense\r\n\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nand more",
    b"HTTP/1.1 200 X\r\nContent-Length: -5\r\n\r\nabcde",
    b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\nnot all of it",
    b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + b"4000\r\n" + bytes(0x4000) + b"\r\n" * 8,
    b"HTTP/1.1 200 X\r\nX-Long: " + b"a" * 200_000,
    b"HTTP/1.1 200 X\r\nX-Half",
    b"HTTP/1.1 103 X\r\n\r\n" * 9,
]


@pytest.mark.parametrize("malformed", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_response_is_an_error_at_once_and_its_connection_is_not_reused(
    malformed: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The server keeps the connection open, so that only the response itself shows the error.
    async def scenario() -> None:
        async with running_proxy(lambda *_: malformed) as proxy:
            real_handle, events = proxy.sidecar._balancer.handle, []

            def handle(now: int, event: Event) -> list[Action]:
                events.append(event)
                return real_handle(now, event)

            monkeypatch.setattr(proxy.sidecar._balancer, "handle", handle)
            assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 500  # it may have been executed
            assert [each.outcome for each in events if isinstance(each, AttemptEnded)] == [Outcome.ERROR]
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)
            proxy.servers[0].script = respond_ok
            assert (await proxy.send_request())[0] == 200
            assert len(proxy.servers[0].writers) == 2

    run_scenario(scenario())


@pytest.mark.parametrize("excess", [encode_response(200, b"a second copy"), b"noise"])
def test_excess_data_after_a_response_closes_only_its_connection(excess: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(
            lambda *_: b"HTTP/1.1 103 X\r\n\r\n" + encode_response(200, b"done") + excess
        ) as proxy:
            for number in range(3):
                assert (await proxy.send_request(X_Call_Id=f"{number}"))[2] == b"done"
            assert len(proxy.servers[0].writers) == 3

    run_scenario(scenario())


def test_attempt_to_a_hung_server_ends_in_time_for_a_response_and_closes_its_connection() -> None:
    async def scenario() -> None:
        async with running_proxy(never_respond) as proxy:
            loop = asyncio.get_running_loop()
            began = loop.time()
            status, _, _ = await proxy.send_request(kind="pay", body=b"x", budget="0.6")
            assert status == 500
            assert loop.time() - began > 0.3
            await wait_until(lambda: proxy.servers[0].closed_by_peer == 1)
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


def test_reset_before_the_last_byte_is_written_proves_that_the_request_never_ran() -> None:
    async def scenario() -> None:
        body = bytes(32 * 1024 * 1024)  # more than the kernel buffers: the rest waits in the transport
        listener = socket.create_server(("127.0.0.1", 0))
        connection = await connect(listener.getsockname()[:2], 1024)
        server_sock, _ = listener.accept()
        response: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        connection.request(encode_post(body), response.set_result)
        assert not connection.is_request_written
        server_sock.close()  # with unread bytes, which resets the connection
        assert await asyncio.wait_for(response, TIMEOUT_S) is None
        assert (
            classify_outcome(None, connection.is_request_written, connection.has_protocol_error)
            is Outcome.CONNECT_FAILED
        )
        listener.close()

    run_scenario(scenario())


def test_request_is_written_once_the_transport_has_handed_all_of_it_to_the_kernel() -> None:
    async def scenario() -> None:
        body = bytes(32 * 1024 * 1024)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        connection = await connect(listener.getsockname()[:2], 1024)
        server_sock, _ = listener.accept()
        reader, writer = await asyncio.open_connection(sock=server_sock, limit=2**26)
        response: asyncio.Future[Response | None] = asyncio.get_running_loop().create_future()
        connection.request(encode_post(body), response.set_result)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(body))
        await wait_until(lambda: connection.is_request_written)
        reset(writer)
        assert await asyncio.wait_for(response, TIMEOUT_S) is None
        assert (
            classify_outcome(None, connection.is_request_written, connection.has_protocol_error)
            is Outcome.RESET
        )
        listener.close()

    run_scenario(scenario())


def test_attempt_past_its_deadline_is_never_sent() -> None:
    async def scenario() -> None:
        pool = ConnectionPool(1.0, 60.0, 10)
        pool.update("s", ("127.0.0.1", 1), None, ServerState.READY)
        assert await outcome_of(pool, -1.0) is Outcome.NOT_SENT

    run_scenario(scenario())


def test_cancelled_attempt_has_one_outcome_and_its_connection_is_closed() -> None:
    async def scenario() -> None:
        server = FakeServer("s", never_respond)
        await server.start()
        pool = ConnectionPool(1.0, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        outcomes: list[Outcome] = []
        loop = asyncio.get_running_loop()
        exchange: Exchange = pool.send(
            "s", post_request(), loop.time() + 30, lambda outcome, _: outcomes.append(outcome)
        )
        await wait_until(lambda: server.requests)
        pool.cancel(exchange)
        pool.cancel(exchange)
        await wait_until(lambda: server.closed_by_peer == 1)
        assert outcomes == [Outcome.CANCELLED]
        assert pool.open_connections == 0
        server.stop()

    run_scenario(scenario())
