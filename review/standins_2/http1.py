"""Reads HTTP/1.1 messages from a stream and formats them, as far as the cases need it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field


@dataclass
class Message:
    """One request or response.

    Attributes:
        start_line: The request line or the status line.
        headers: Values by name in lower case; the last value of a name counts.
        body: The body, without its transfer coding.
        first_byte_at: When the first byte had come, in seconds on the monotonic clock.
        last_byte_at: When the last byte had come, in seconds on the monotonic clock.
    """

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_byte_at: float = 0.0
    last_byte_at: float = 0.0

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a body that Content-Length, chunks or nothing frames.

    Raises:
        asyncio.IncompleteReadError: The stream ended before the message was complete.
        ConnectionError: The connection was reset.
    """
    first = await reader.readexactly(1)
    first_byte_at = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    message = Message(start_line, {name.lower(): value.strip() for name, _, value in pairs})
    message.first_byte_at = first_byte_at
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    message.last_byte_at = time.monotonic()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def format_message(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message; a Content-Length is added if there is a body."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def format_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response with a Content-Length."""
    phrase = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "-")
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    return format_message(f"HTTP/1.1 {status} {phrase}", fields) + body
