"""Stand-in registry of a memory run: answers with the list, with a large one, or with a part of one."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from scale.http1 import MessageReader, format_response
from scale.memory.scenario import RegistryFault

_LARGE_INCOMPLETE_BYTES = 8_000_000
_LIST_VERSION = 2
_DRAINING_SERVERS = 600  # of a large list, in addition to the servers of the run
_WATCH_S = 1.0


class MemoryRegistry(asyncio.Protocol):
    """One call to the registry."""

    def __init__(self, fault: RegistryFault, entries: Sequence[dict[str, Any]]) -> None:
        self._fault = fault
        self._entries = list(entries)
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a call; a watch of the current version is answered after a second."""
        for request in self._reader.feed(data):
            is_watch = f"after={_LIST_VERSION}" in request.target
            asyncio.get_running_loop().call_later(_WATCH_S if is_watch else 0.0, self._answer, is_watch)

    def _answer(self, is_watch: bool) -> None:
        assert self._transport is not None
        if self._fault is RegistryFault.LARGE_INCOMPLETE:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % _LARGE_INCOMPLETE_BYTES
            self._transport.write(head + b" " * (_LARGE_INCOMPLETE_BYTES - 1))
            return
        entries = [] if is_watch else [*self._entries, *self._draining()]
        content = {"index": _LIST_VERSION, "snapshot": not is_watch, "endpoints": entries}
        self._transport.write(format_response(HTTPStatus.OK, {}, json.dumps(content).encode()))

    def _draining(self) -> list[dict[str, Any]]:
        if self._fault is not RegistryFault.LARGE_LIST:
            return []
        return [server_entry(f"d-{n}", f"127.9.9.9:{n + 1}", "leaving") for n in range(_DRAINING_SERVERS)]


def server_entry(name: str, address: str, status: str = "active") -> dict[str, Any]:
    """Return an entry of the endpoint list."""
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "m1",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }
