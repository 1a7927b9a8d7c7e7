"""A server as the protocol page describes it: it answers each complete request on a connection in turn."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from standins.messages import STREAM_LIMIT_BYTES, Message, read_message
from standins.record import Record


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How a server treats the requests that it gets.

    Attributes:
        service_time_s: Draws the seconds that a request takes.
        second_answer_after_s: Draws the seconds after which an answer is sent a second time; None: it is not.
    """

    service_time_s: Callable[[], float]
    second_answer_after_s: Callable[[], float | None] = lambda: None


class Server:
    """One server.  The body of an answer names the request that it answers.

    Attributes:
        name: Its name in discovery.
        port: The port that it listens on.
        run: The ids of the requests that have run, in order.
    """

    def __init__(self, name: str, behaviour: Behaviour, record: Record) -> None:
        self.name = name
        self.port = 0
        self.run: list[str] = []
        self._behaviour = behaviour
        self._record = record

    async def start(self) -> None:
        """Listen on a free loopback port."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=STREAM_LIMIT_BYTES)
        self.port = listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            if "x-call-id" not in request.headers:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            await self._answer(request, writer)
        writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        call_id = request.headers["x-call-id"]
        await asyncio.sleep(self._behaviour.service_time_s())
        self.run.append(call_id)
        self._record.add(f"run {call_id} at {self.name}")
        body = answer_body(call_id)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        writer.write(answer)
        delay_s = self._behaviour.second_answer_after_s()
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._write_again, call_id, answer, writer)

    def _write_again(self, call_id: str, answer: bytes, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            self._record.add(f"second answer for {call_id} at {self.name}")
            writer.write(answer)


def answer_body(call_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return b"answer to " + call_id.encode()
