"""Parses and encodes the HTTP/1.1 messages of the rig: a head, then a body of known length.

Only the subset of HTTP/1.1 that occurs on the rig's connections is supported.  The code is kept small because
its own run time is part of each measured latency.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus

_END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Message:
    """A request or a response."""

    first_line: str
    headers: Mapping[str, str]  # names in lower case
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ", 2)[1])

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.first_line.split(" ", 2)[1]


class MessageReader:
    """Splits the bytes of one connection into messages."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes, and yield each complete message.

        Raises:
            ValueError: A head is malformed.
        """
        self._buffer += data
        while (message := self._next_message()) is not None:
            yield message

    def _next_message(self) -> Message | None:
        end = self._buffer.find(_END_OF_HEAD)
        if end < 0:
            return None
        first_line, *lines = self._buffer[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body_start = end + len(_END_OF_HEAD)
        body_end = body_start + int(headers.get("content-length", "0"))
        if len(self._buffer) < body_end:
            return None
        body = self._buffer[body_start:body_end]
        self._buffer = self._buffer[body_end:]
        return Message(first_line, headers, body)


def format_request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a request."""
    return _encode(f"{method} {target} HTTP/1.1", headers, body)


def format_response(status: HTTPStatus, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode a response."""
    return _encode(f"HTTP/1.1 {status.value} {status.phrase}", headers, body)


def _encode(first_line: str, headers: Mapping[str, str], body: bytes) -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
