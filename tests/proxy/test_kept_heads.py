"""What an incomplete message keeps of a head with many headers is in proportion to its text."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable

import pytest
from proxy_harness import encode_response, request

from sidecar.proxy.request_reader import RequestReader
from sidecar.proxy.response_reader import MalformedResponseError, ResponseReader

HEADERS = b"".join(b"x%d:y\r\n" % number for number in range(240))
BODY = bytes(100)
MESSAGES = 20
MAX_KEPT_BYTES = 8_000  # of a message of 2 kB, its parser included; as objects the headers take 40 kB


def with_headers(message: bytes) -> bytes:
    """Return a message with many short headers, without its end."""
    head, end, body = message.partition(b"\r\n\r\n")
    return head + b"\r\n" + HEADERS.removesuffix(b"\r\n") + end + body[:-1]


def start_request() -> RequestReader:
    reader = RequestReader(lambda _: None)
    reader.receive(with_headers(request("pay", body=BODY)))
    assert reader.read() is None
    return reader


def start_response() -> ResponseReader:
    reader = ResponseReader(len(BODY))
    reader.receive(with_headers(encode_response(200, BODY)))
    assert reader.parse() is None
    return reader


# Guards against memory over the limit while hundreds of messages with many headers are incomplete (issue 39).
@pytest.mark.parametrize("start", [start_request, start_response])
def test_incomplete_message_keeps_no_object_for_each_header(start: Callable[[], object]) -> None:
    start()
    gc.collect()
    tracemalloc.start()
    try:
        kept = [start() for _ in range(MESSAGES)]
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < len(kept) * MAX_KEPT_BYTES


def test_response_that_repeats_a_forwarded_header_too_often_is_malformed() -> None:
    reader = ResponseReader(len(BODY))
    reader.receive(b"HTTP/1.1 200 OK\r\n" + b"content-type: a\r\n" * 17 + b"Content-Length: 0\r\n\r\n")
    with pytest.raises(MalformedResponseError):
        reader.parse()
