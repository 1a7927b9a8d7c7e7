"""The application: it keeps its connections, and opens another one when all of them are busy."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from enum import Enum, auto

from standins.messages import STREAM_LIMIT_BYTES, Message, read_message
from standins.record import Record

# How long the client still listens after its own time is over: longer than an answer may be late.
_LISTEN_AFTER_S = 1.0


class Ending(Enum):
    """How a request ended, as its client sees it."""

    ANSWERED = auto()
    SHUT = auto()  # the first request on a connection that was closed with nothing sent
    UNREACHABLE = auto()  # no connection
    LOST = auto()  # no answer at all while the client listened


@dataclass(slots=True)
class Call:
    """One request, and how it ended.

    Attributes:
        call_id: Its id.
        budget_s: How long its client waits, from when it was sent.
        sent_at: When its last byte was written, on the monotonic clock.
        ending: How it ended; None while it is open.
        ended_at: When it ended.
        answer: The answer, if there is one.
    """

    call_id: str
    budget_s: float
    sent_at: float = 0.0
    ending: Ending | None = None
    ended_at: float = 0.0
    answer: Message | None = None

    def lateness_s(self) -> float:
        """Return how long after its time the request ended, in seconds; negative if it was in time."""
        return self.ended_at - self.sent_at - self.budget_s


@dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Client:
    """Sends requests, one at a time on each connection.

    Attributes:
        calls: All requests so far.
    """

    def __init__(self, port: int, record: Record) -> None:
        self.calls: list[Call] = []
        self._port = port
        self._record = record
        self._idle: list[_Connection] = []
        self._numbers = itertools.count(1)

    async def get(self, class_name: str, budget_s: float) -> Call:
        """Send a request that is safe to repeat; return it once it has ended."""
        return await self._send("GET", class_name, budget_s)

    async def post(self, class_name: str, budget_s: float) -> Call:
        """Send a request that must not run twice; return it once it has ended."""
        return await self._send("POST", class_name, budget_s)

    async def _send(self, method: str, class_name: str, budget_s: float) -> Call:
        call = Call(f"call-{next(self._numbers)}", budget_s)
        self.calls.append(call)
        body = b"text" if method == "POST" else b""
        head = (
            f"{method} /api/gauge HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {call.call_id}\r\n"
            f"X-Call-Class: {class_name}\r\nX-Budget: {budget_s:.3f}\r\n"
        )
        framing = f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
        self._record.add(f"sent {call.call_id} {class_name} budget {budget_s:.3f} s")
        call.ending = await self._exchange(call, (head + framing).encode() + body)
        call.ended_at = time.monotonic()
        status = call.answer.status if call.answer is not None else "-"
        self._record.add(
            f"ended {call.call_id} {call.ending.name} {status} after {call.ended_at - call.sent_at:.3f} s"
        )
        return call

    async def _exchange(self, call: Call, data: bytes) -> Ending:
        """Send a request; if a kept connection turns out to be closed, send it once more on a new one."""
        if self._idle:
            ending = await self._try(call, data, self._idle.pop())
            if ending is not Ending.SHUT:
                return ending
        try:
            opening = asyncio.open_connection("127.0.0.1", self._port, limit=STREAM_LIMIT_BYTES)
            connection = _Connection(*await opening)
        except OSError:
            return Ending.UNREACHABLE
        return await self._try(call, data, connection)

    async def _try(self, call: Call, data: bytes, connection: _Connection) -> Ending:
        connection.writer.write(data)
        call.sent_at = call.sent_at or time.monotonic()  # sending a request once more gains no time
        left_s = call.sent_at + call.budget_s + _LISTEN_AFTER_S - time.monotonic()
        try:
            call.answer = await asyncio.wait_for(read_message(connection.reader), left_s)
        except TimeoutError:
            connection.writer.close()
            return Ending.LOST
        if call.answer is None:
            connection.writer.close()
            return Ending.SHUT
        if call.answer.headers.get("connection", "").lower() == "close":
            connection.writer.close()
        else:
            self._idle.append(connection)
        return Ending.ANSWERED
