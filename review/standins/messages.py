"""Reads HTTP/1.1 messages from a stream, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

STREAM_LIMIT_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Message:
    """A complete request or response.

    Attributes:
        start_line: The request line or status line.
        headers: The headers, their names in lower case.
        body: The body, without its transfer coding.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; return None if the connection ends or breaks before the message is complete."""
    try:
        return await _read_message(reader)
    except (OSError, asyncio.IncompleteReadError):
        return None


async def _read_message(reader: asyncio.StreamReader) -> Message:
    start_line = await reader.readuntil(b"\r\n")
    headers = {}
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line.decode("latin-1").strip(), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size_line = await reader.readuntil(b"\r\n")
        size = int(size_line.partition(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
        if not size:
            return body
