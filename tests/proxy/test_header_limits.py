"""Messages with very many header lines are rejected before they are parsed."""

from __future__ import annotations

import h11
import pytest
from parsing_cost import LAST_CHUNK, chunked_request
from proxy_harness import (
    encode_response,
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
)

from sidecar.proxy.incremental_parser import IncrementalParser
from sidecar.proxy.syntax_check import MAX_HEADERS

LINE = b"a:\r\n"
END = b"\r\n"
MANY_LINES = 15_000  # nearly 64 KiB, which one read holds
REQUEST = request("pay", body=b"")
TRAILERS = chunked_request(b"x") + LAST_CHUNK.removesuffix(END)


def with_headers(message: bytes, count: int) -> bytes:
    """Return a message that has no body, with this number of headers in all."""
    present = message.count(END) - 2
    return message.removesuffix(END) + LINE * (count - present) + END


# Guards against occupying the event loop with the headers of one client.
@pytest.mark.parametrize("count", [MAX_HEADERS + 1, 1000, MANY_LINES])
@pytest.mark.parametrize("section", ["head", "trailers"])
def test_request_with_too_many_header_lines_is_rejected(section: str, count: int) -> None:
    async def scenario() -> None:
        data = with_headers(REQUEST, count) if section == "head" else TRAILERS + LINE * count + END
        async with running_proxy(respond_ok) as proxy:
            status, _, body = await send_request(proxy.sidecar.frontend.address, data)
            assert (status, body) == (400, b"more than 256 headers\n")
            assert not proxy.server_requests()

    run_scenario(scenario())


@pytest.mark.parametrize(
    "data",
    [
        with_headers(REQUEST, MAX_HEADERS),
        TRAILERS + LINE * MAX_HEADERS + END,
        request("pay", body=b"", X_Long="x" * 60_000),
    ],
    ids=["head", "trailers", "one long header"],
)
@pytest.mark.parametrize("piece_bytes", [1000, 1_000_000])
def test_request_at_the_limits_is_served_however_it_arrives(data: bytes, piece_bytes: int) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reader, writer = await proxy.connect()
            for start in range(0, len(data), piece_bytes):
                writer.write(data[start : start + piece_bytes])
                await writer.drain()
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()

    run_scenario(scenario())


def test_response_with_too_many_headers_counts_as_malformed() -> None:
    async def scenario() -> None:
        response = with_headers(encode_response(200, b""), MANY_LINES)
        async with running_proxy(lambda *_: response) as proxy:
            status, _, _ = await proxy.send_request(kind="pay")
            assert status == 500
            assert len(proxy.server_requests()) == 1

    run_scenario(scenario())


# Guards against parsing the lines before they are counted, which takes longer than the rest of a request.
def test_lines_beyond_the_limit_are_not_passed_to_h11() -> None:
    parser = IncrementalParser(h11.SERVER)
    parser.receive(with_headers(REQUEST, MANY_LINES))
    with pytest.raises(h11.RemoteProtocolError):
        parser.next_event()
    data, _ = parser.connection.trailing_data
    assert len(data) < len(parser.unparsed) / 10
