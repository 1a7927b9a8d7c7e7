"""A client stand-in: sends one request at a time on a connection and waits for the whole answer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import time
from dataclasses import dataclass

from standins_2.http1 import Message, read_message

_numbers = itertools.count(1)
_PREFIX = os.urandom(4).hex()


def new_id() -> str:
    """Return a new request id."""
    return f"{_PREFIX}{next(_numbers):08x}"


@dataclass
class Call:
    """One request of a client.

    Attributes:
        request_id: Its id.
        service_class: Its class.
        budget_s: How long the client waits.
        sent_at: When its last byte was sent, in seconds on the monotonic clock.
        answer: The whole answer, if one came.
        answered_at: When the last byte of the answer, or the end of the connection, came.
        left_at: When the client closed its connection without an answer.
        error: How the connection ended without a whole answer.
    """

    request_id: str
    service_class: str
    budget_s: float
    sent_at: float = 0.0
    answer: Message | None = None
    answered_at: float = 0.0
    left_at: float | None = None
    error: str = ""


def encode_call(call: Call, *, key: str = "1f", idempotency_key: str = "", body: bytes = b"") -> bytes:
    """Return the bytes of a request: a GET unless it has a body or an idempotency key."""
    method = "POST" if body else "GET"
    lines = [
        f"{method} /api/{key} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {call.request_id}",
        f"X-Call-Class: {call.service_class}",
        f"X-Budget: {call.budget_s:.3f}",
    ]
    if idempotency_key:
        lines.append(f"Idempotency-Key: {idempotency_key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class ClientConnection:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams of a connection."""
        self.reader = reader
        self.writer = writer
        self.is_usable = True

    @staticmethod
    async def open(address: str) -> ClientConnection:
        """Connect to the sidecar."""
        host, _, port = address.rpartition(":")
        return ClientConnection(*await asyncio.open_connection(host, int(port)))

    async def send(self, call: Call, data: bytes, patience_s: float | None = None) -> None:
        """Send a request and wait for its answer.

        Args:
            call: The request; its answer is stored in it.
            data: The bytes of the request.
            patience_s: When the client leaves; None: a second after its time has run out.
        """
        self.is_usable = False
        try:
            self.writer.write(data)
            await self.writer.drain()
            call.sent_at = time.monotonic()
            limit_s = call.budget_s + 1.0 if patience_s is None else patience_s
            call.answer = await asyncio.wait_for(read_message(self.reader), limit_s)
            self.is_usable = call.answer.headers.get("connection") != "close"
        except TimeoutError:
            call.left_at = time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            call.error = repr(error)
        call.answered_at = time.monotonic()
        if not self.is_usable:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.is_usable = False
        with contextlib.suppress(OSError):
            self.writer.close()
