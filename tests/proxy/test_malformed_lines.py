"""Malformed lines are rejected before h11 matches them, as that may take time quadratic in their length."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from parsing_cost import LAST_CHUNK, chunked_request
from proxy_harness import (
    FakeServer,
    encode_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
)

from sidecar.proxy.incremental_parser import IncrementalParser
from sidecar.proxy.response_reader import MalformedResponseError, ResponseReader
from sidecar.proxy.server_connection import connect

MAX_CPU_S = 0.5  # a request that is answered this long after its time counts as lost
BLANKS = b" " * 60_000
HEAD = request("pay", body=b"").removesuffix(b"\r\n")
CHUNKS = chunked_request(b"x")
TRAILERS = CHUNKS + LAST_CHUNK.removesuffix(b"\r\n")
MALFORMED_REQUESTS = {
    "NUL after blanks": HEAD + b"X-Note: " + BLANKS + b"\x00\r\n\r\n",
    "CR after tabs": HEAD + b"X-Note: " + b"\t" * 60_000 + b"\r\rx\r\n\r\n",
    "vertical tab after blanks": HEAD + b"X-Note: " + BLANKS + b"\x0b\r\n\r\n",
    "NUL after folded lines": HEAD + b"X-Note: " + (BLANKS[:8000] + b"\r\n ") * 7 + b"\x00\r\n\r\n",
    "NUL in a trailer": TRAILERS + b"X-Note: " + BLANKS + b"\x00\r\n\r\n",
    "line break in a chunk extension": CHUNKS + b"5;" + BLANKS + b"\nx\r\n",
}


def malformed_response(line: bytes) -> bytes:
    return encode_response(200, b"").removesuffix(b"\r\n") + line + b"\r\n\r\n"


def response_with_trailer(line: bytes) -> bytes:
    head = encode_response(200, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"0\r\n" + line + b"\r\n\r\n"


MALFORMED_RESPONSES = {
    "NUL after blanks": malformed_response(b"X-Note: " + BLANKS + b"\x00"),
    "NUL in a trailer": response_with_trailer(b"X-Note: " + BLANKS + b"\x00"),
    "line break in a chunk extension": response_with_trailer(b"").replace(
        b"0\r\n\r\n", b"5;" + BLANKS + b"\nx\r\n"
    ),
    "long status line": b"HTTP/1.1 200 " + b" x" * 30_000 + b"\r\nContent-Length: 0\r\n\r\n",
}


def cpu_time_s(action: Callable[[], object]) -> float:
    """Return the CPU time that a call takes in this thread, in seconds."""
    started_at = time.thread_time()
    action()
    return time.thread_time() - started_at


# Guards against occupying the event loop for 20 s with one header that is not valid (review/6).
@pytest.mark.parametrize("data", MALFORMED_REQUESTS.values(), ids=list(MALFORMED_REQUESTS))
@pytest.mark.parametrize("piece_bytes", [5000, 1_000_000])
def test_malformed_request_is_rejected_in_little_time(data: bytes, piece_bytes: int) -> None:
    parser = IncrementalParser(h11.SERVER)

    def parse() -> None:
        for start in range(0, len(data), piece_bytes):
            parser.receive(data[start : start + piece_bytes])
            while parser.next_event() is not h11.NEED_DATA:
                pass

    def expect_error() -> None:
        with pytest.raises(h11.RemoteProtocolError):
            parse()

    assert cpu_time_s(expect_error) < MAX_CPU_S


# Guards against the same in the response of a server or of the registry.
@pytest.mark.parametrize("data", MALFORMED_RESPONSES.values(), ids=list(MALFORMED_RESPONSES))
def test_malformed_response_is_rejected_in_little_time(data: bytes) -> None:
    reader = ResponseReader(len(data))
    reader.receive(data)

    def expect_error() -> None:
        with pytest.raises(MalformedResponseError):
            reader.parse()

    assert cpu_time_s(expect_error) < MAX_CPU_S


def test_client_of_a_malformed_request_gets_an_error_and_others_are_served() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            started_at = time.thread_time()
            for data in MALFORMED_REQUESTS.values():
                status, _, _ = await send_request(proxy.sidecar.frontend.address, data)
                assert status == 400
                assert (await proxy.send_request())[0] == 200
            assert time.thread_time() - started_at < MAX_CPU_S * len(MALFORMED_REQUESTS)

    run_scenario(scenario())


@pytest.mark.parametrize("data", MALFORMED_RESPONSES.values(), ids=list(MALFORMED_RESPONSES))
def test_malformed_response_counts_as_an_attempt_that_may_have_run(data: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(lambda *_: data) as proxy:
            status, _, _ = await proxy.send_request(kind="pay")
            assert status == 500
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"X-Note: " + BLANKS + b"x" + b"\r\n\r\n",
        HEAD + b"X-Note: " + BLANKS + b"\r\n\r\n",
        HEAD + b"X-Note: " + b" x" * 29_000 + b"\r\n\r\n",
        CHUNKS + b"1;" + BLANKS + b"\r\nx\r\n" + LAST_CHUNK,
        chunked_request(b"\x00\r\n\x0b") + b"4\r\n\r\n\r\n\r\n" + LAST_CHUNK,
    ],
    ids=["blanks before a value", "blanks alone", "many words", "chunk extension", "control bytes in a body"],
)
def test_unusual_but_valid_request_is_served(data: bytes) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            started_at = time.thread_time()
            status, _, _ = await send_request(proxy.sidecar.frontend.address, data)
            assert status == 200
            assert time.thread_time() - started_at < MAX_CPU_S

    run_scenario(scenario())


def test_registry_response_with_a_malformed_header_counts_as_broken() -> None:
    async def scenario() -> None:
        server = FakeServer("registry", lambda *_: MALFORMED_RESPONSES["NUL after blanks"])
        await server.start()
        connection = await connect(server.address, 1_000_000)
        responses: list[Any] = []
        connection.request(request(), responses.append)
        started_at = time.thread_time()
        while not responses:
            await asyncio.sleep(0)
        assert responses == [None]
        assert time.thread_time() - started_at < MAX_CPU_S
        server.stop()

    run_scenario(scenario())


FRAGMENTS = st.sampled_from(
    [b" ", b"\t", b"\r", b"\n", b"\r\n", b"\x00", b"\x0b", b"a", b":", b"a: b\r\n", b";", b"0", b"0\r\n",
     b"3", b"\r\n\r\n", b"xyz", b"3\r\nxyz\r\n"]
)  # fmt: skip
PREFIXES = st.sampled_from(
    [
        b"POST / HTTP/1.1\r\nHost: h\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
        b"\r\n",
    ]
)


def parse_with_h11(data: bytes) -> list[object] | None:
    """Return the events of a message up to its end, with its content joined; None: it is not complete."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    return collect_events(connection.next_event)


def collect_events(next_event: Callable[[], Any]) -> list[object] | None:
    events: list[object] = []
    content = b""
    while True:
        event = next_event()
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.Data):
            content += bytes(event.data)
            continue
        events.append(event)
        if isinstance(event, h11.EndOfMessage):
            return [*events, content]


def parse_in_pieces(data: bytes, piece_bytes: int) -> list[object] | None:
    parser = IncrementalParser(h11.SERVER)
    position = 0

    def next_event() -> Any:
        nonlocal position
        while (event := parser.next_event()) is h11.NEED_DATA and position < len(data):
            parser.receive(data[position : position + piece_bytes])
            position += piece_bytes
        return event

    return collect_events(next_event)


# Guards against rejecting a message that h11 accepts, and against taking one part of a message for another.
@given(PREFIXES, st.lists(FRAGMENTS, max_size=12), st.integers(1, 40))
def test_check_agrees_with_h11(prefix: bytes, fragments: list[bytes], piece_bytes: int) -> None:
    data = prefix + b"".join(fragments)
    try:
        expected = parse_with_h11(data)
    except h11.RemoteProtocolError:
        with pytest.raises(h11.RemoteProtocolError):
            parse_in_pieces(data, piece_bytes)
        return
    if expected is not None:
        assert parse_in_pieces(data, piece_bytes) == expected


# Guards against a response, and a log line, that are several times as long as the request.
def test_error_quotes_no_more_than_the_beginning_of_a_long_line() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            data = HEAD + b"\xff" * 60_000 + b"\r\n\r\n"
            status, _, body = await send_request(proxy.sidecar.frontend.address, data)
            assert status == 400
            assert 0 < len(body) < 1000

    run_scenario(scenario())


# Guards against many heads of thousands of words in one iteration of the event loop (issue 39).
@pytest.mark.parametrize("piece_bytes", [3000, 1_000_000])
def test_long_head_is_parsed_in_a_turn_of_its_own(piece_bytes: int) -> None:
    data = HEAD + b"X-Note: " + b" x" * 20_000 + b"\r\n\r\n"
    parser = IncrementalParser(h11.SERVER)
    for start in range(0, len(data), piece_bytes):
        parser.receive(data[start : start + piece_bytes])
        if parser.event_limit(None):
            assert parser.next_event() is h11.NEED_DATA
    assert parser.event_limit(None) == 0
    assert parser.event_limit(64) == 64
    while (event := parser.next_event()) is h11.NEED_DATA:
        pass
    assert isinstance(event, h11.Request)
    assert parser.event_limit(None) > 0


def test_short_head_with_a_long_body_is_parsed_at_once() -> None:
    parser = IncrementalParser(h11.SERVER)
    parser.receive(request("pay", body=bytes(60_000)))
    assert parser.event_limit(None) > 0
