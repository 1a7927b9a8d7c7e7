"""The lookahead at pipelined data: what it reports, and what it keeps."""

from __future__ import annotations

import tracemalloc

import h11
import pytest
from parsing_cost import LAST_CHUNK, chunked_request
from proxy_harness import request

from sidecar.proxy.request_lookahead import RequestLookahead

COMPLETE = request("pay", body=b"whole")
NEXT_BODY_BYTES = 60_000


def test_complete_request_is_found_whatever_follows_it() -> None:
    lookahead = RequestLookahead()
    lookahead.receive(COMPLETE[:-1])
    assert not lookahead.parse()
    for rest in (b"", b"P", b"\0 no request"):
        lookahead.receive(COMPLETE + rest)
        assert lookahead.parse()
        assert not lookahead.has_backlog


def test_request_in_many_chunks_is_found_in_several_calls() -> None:
    lookahead = RequestLookahead()
    lookahead.receive(chunked_request(bytes(200)) + LAST_CHUNK)
    assert not lookahead.parse()
    assert lookahead.has_backlog
    assert not lookahead.parse(max_events=64)
    assert lookahead.has_backlog
    assert lookahead.parse(max_events=200)
    assert not lookahead.has_backlog


def test_invalid_data_is_reported() -> None:
    lookahead = RequestLookahead()
    lookahead.receive(b"\0 no request")
    with pytest.raises(h11.RemoteProtocolError):
        lookahead.parse()


# Guards against a second copy of all data that is pipelined behind the next request.
def test_data_behind_a_complete_request_is_not_kept() -> None:
    data = COMPLETE + request("pay", body=bytes(NEXT_BODY_BYTES))
    lookahead = RequestLookahead()
    tracemalloc.start()
    try:
        lookahead.receive(data)
        assert lookahead.parse()
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < NEXT_BODY_BYTES / 2
