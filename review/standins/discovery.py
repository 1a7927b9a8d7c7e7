"""Discovery with a list that does not change: full lists, and watches that end without a change."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

from standins.messages import read_message
from standins.server import Server

_INDEX = 1


class Discovery:
    """Serves `GET /registry/instances`.

    Attributes:
        port: The port that it listens on.
    """

    def __init__(self, servers: Sequence[Server]) -> None:
        self.port = 0
        self._servers = servers

    async def start(self) -> None:
        """Listen on a free loopback port."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]

    def full_list(self) -> dict[str, object]:
        """Return the complete list."""
        return {"index": _INDEX, "snapshot": True, "endpoints": [_entry(server) for server in self._servers]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (call := await read_message(reader)) is not None:
            query = parse_qs(urlsplit(call.target).query)
            answer = self.full_list()
            if int(query.get("after", ["0"])[0]) >= _INDEX:
                await asyncio.sleep(int(query.get("wait_ms", ["0"])[0]) / 1000)
                answer = {"index": _INDEX, "snapshot": False, "endpoints": []}
            body = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


def _entry(server: Server) -> dict[str, object]:
    return {
        "name": server.name,
        "address": f"127.0.0.1:{server.port}",
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }
