"""A server stand-in: it runs each complete request once and answers as its plan says."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from standins_2.http1 import Message, format_response, read_message

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on for 0 s: close() resets the connection
REJECTION = format_response(503, b"", {"X-Rejected": "1"})
"""The answer of a server that turns a request away unseen."""


@dataclass
class Attempt:
    """One request that a server has received completely.

    Attributes:
        server: Name of the server.
        message: The request.
        has_run: Whether the server ran it; False if it turned it away.
        is_open: Whether its connection is open and it has no whole answer yet.
    """

    server: str
    message: Message
    has_run: bool = True
    is_open: bool = True

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.message.headers.get("x-call-id", "")


Plan = Callable[["ServerConnection", Attempt], Awaitable[None]]
"""Answers one attempt on its connection."""


class ServerConnection:
    """One connection to a server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams of an accepted connection."""
        self.reader = reader
        self.writer = writer
        self.requests = 0

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection, as the system does for a process that has died."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and not self.writer.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.writer.transport.abort()


async def serve(connection: ServerConnection, attempt: Attempt, after_s: float = 0.02) -> None:
    """Answer 200 after a service time, with the id of the request in the body."""
    await asyncio.sleep(after_s)
    await connection.send(format_response(200, f"ran {attempt.request_id}".encode()))


class ServerStandin:
    """One server.

    Attributes:
        name: Its name in the endpoint list.
        zone: Its zone.
        group: Its cell, whose servers drop repeats of a key.
        plan: Answers each request; may be replaced at any time.
        attempts: The requests that it received completely, in order.
        status: Its status in the endpoint list.
        since_ms: When its process started, as Unix time in milliseconds; 0: long ago.
        address: Where it listens.
        connections: Its open connections.
    """

    def __init__(self, name: str, attempts: list[Attempt], zone: str = "a", group: int = 0) -> None:
        """Create a server that adds the requests it receives to a list, which servers may share."""
        self.name = name
        self.zone = zone
        self.group = group
        self.plan: Plan = serve
        self.attempts = attempts
        self.status = "active"
        self.since_ms = 0
        self.address = ""
        self.connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", port, backlog=512)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    def kill(self) -> None:
        """End as a process that dies: connections are reset and new ones refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()

    def restarted_now(self) -> None:
        """Set the start time of its process to now."""
        self.since_ms = int(time.time() * 1000)

    def entry(self, status: str | None = None) -> dict[str, object]:
        """Return its entry in the endpoint list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "m1",
            "group": self.group,
            "status": status or self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(reader, writer)
        self.connections.add(connection)
        try:
            while not writer.transport.is_closing():
                message = await read_message(reader)
                connection.requests += 1
                attempt = Attempt(self.name, message)
                self.attempts.append(attempt)
                try:
                    await self.plan(connection, attempt)
                finally:
                    attempt.is_open = False
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()
