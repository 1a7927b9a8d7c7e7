"""A stand-in for discovery: the whole list, and watches that are answered with the changes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from standins_2.http1 import format_response, read_message
from standins_2.server import ServerConnection, ServerStandin


class DiscoveryStandin:
    """Serves one endpoint list at one address.

    Attributes:
        index: The version of the list.
        is_silent: Whether calls get no answer.
        is_down: Whether calls get 503.
        turn_after_s: How long each call waits for its turn, in seconds.
        address: Where it listens.
        calls: The targets of the calls that came, in order.
        on_answer: Called with the version of the list when it is about to be written to the sidecar.
    """

    def __init__(self, servers: list[ServerStandin]) -> None:
        """Create discovery with the servers that it lists."""
        self.index = 1
        self.is_silent = False
        self.is_down = False
        self.turn_after_s = 0.0
        self.address = ""
        self.calls: list[str] = []
        self.on_answer: Callable[[int], None] = lambda _index: None
        self._entries = {server.name: server.entry() for server in servers}
        self._changed_at = dict.fromkeys(self._entries, 1)
        self._changed = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        for server_name in list(self._entries):
            self._changed_at[server_name] = self.index
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", port, backlog=512)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def set(self, server: ServerStandin, status: str | None = None) -> None:
        """List a server with its present entry, or with another status; `left` removes it."""
        self.index += 1
        self._entries[server.name] = server.entry(status)
        self._changed_at[server.name] = self.index
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self) -> dict[str, object]:
        """Return the whole list."""
        entries = [entry for entry in self._entries.values() if entry["status"] != "left"]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    def close(self) -> None:
        """Refuse new connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            connection.reset()

    def _changes(self, after: int) -> dict[str, object]:
        names = [name for name, index in self._changed_at.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": [self._entries[name] for name in names]}

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        self._connections.add(connection)
        try:
            while not writer.transport.is_closing():
                message = await read_message(reader)
                await self._answer(connection, message.start_line.split(" ")[1])
                if message.headers.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _answer(self, connection: ServerConnection, target: str) -> None:
        self.calls.append(target)
        await asyncio.sleep(self.turn_after_s)
        query = parse_qs(urlsplit(target).query)
        if "after" in query and not self.is_down:
            after, wait_s = int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]) / 1000
            if after == self.index and wait_s and not self.is_silent:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            content = self._changes(after) if after <= self.index else self.snapshot()
        else:
            content = self.snapshot()
        if self.is_silent:
            await connection.reader.read(1)
            return
        if self.is_down:
            await connection.send(format_response(503))
            return
        if connection.reader.at_eof():
            return
        self.on_answer(self.index)
        await connection.send(format_response(200, json.dumps(content).encode()))
