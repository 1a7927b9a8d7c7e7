"""Virtual CPU time of parsing, and messages whose bodies take many chunks."""

from __future__ import annotations

import asyncio
from typing import Any

import h11
import pytest
from proxy_harness import encode_response, request
from virtual_time import VirtualTimeLoop

LAST_CHUNK = b"0\r\n\r\n"


class ParsingCost:
    """Counts the events that h11 parses, and lets virtual time pass for each of them.

    Attributes:
        events: Count of events.
    """

    def __init__(self, patch: pytest.MonkeyPatch, event_s: float = 0.0) -> None:
        """Replace the parser's method.

        Args:
            patch: Undoes the replacement at the end of the test.
            event_s: Virtual seconds that one event takes.
        """
        self.events = 0
        self._event_s = event_s
        self._next_event = h11.Connection.next_event
        patch.setattr(h11.Connection, "next_event", lambda connection: self._count_event(connection))

    def _count_event(self, connection: h11.Connection) -> Any:
        self.events += 1
        loop = asyncio.get_running_loop()
        if isinstance(loop, VirtualTimeLoop):
            loop.time_selector.elapsed_s += self._event_s
        return self._next_event(connection)


def in_chunks_of_one_byte(body: bytes) -> bytes:
    """Return a body in the chunked transfer coding, without the last chunk."""
    return b"".join(b"1\r\n%c\r\n" % byte for byte in body)


def chunked_request(body: bytes, **changes: Any) -> bytes:
    """Return a request with a body in chunks of one byte, without the last chunk."""
    head = request("pay", **{"Content_Length": None, "Transfer_Encoding": "chunked", **changes})
    return head + in_chunks_of_one_byte(body)


def chunked_response(body: bytes) -> bytes:
    """Return a complete response with a body in chunks of one byte."""
    head = encode_response(200, b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + in_chunks_of_one_byte(body) + LAST_CHUNK
