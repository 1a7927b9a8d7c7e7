"""Stand-in servers of a memory run: the request path says how they answer."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from scale.http1 import Message, MessageReader, format_response
from scale.memory.messages import incomplete_response
from scale.memory.scenario import DataKind

_LARGE_BODY = b"l" * 64_000
_SERVED = b"served"


class MemoryServer(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each complete request as its path says."""
        assert self._transport is not None
        for request in self._reader.feed(data):
            self._transport.write(_answer(request))


def _answer(request: Message) -> bytes:
    """Return the response, empty for none."""
    mode, _, field_bytes = request.target.split("/")[2].partition("-")
    if mode == "hang":
        return b""
    if mode == "large":
        return format_response(HTTPStatus.OK, {}, _LARGE_BODY)
    if mode.upper() in DataKind.__members__:
        return incomplete_response(DataKind[mode.upper()], int(field_bytes))
    return format_response(HTTPStatus.OK, {}, _SERVED)


async def start_server() -> tuple[asyncio.Server, tuple[str, int]]:
    """Start a server; return it and its address."""
    server = await asyncio.get_running_loop().create_server(MemoryServer, "127.0.0.1", 0, backlog=512)
    host, port = server.sockets[0].getsockname()
    return server, (host, port)
