"""HTTP client that generates the load: one call at a time per connection, as many connections as needed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from scale.http1 import Message, MessageReader, format_request

Address = tuple[str, int]
NO_RESPONSE = 0  # status of a call that timed out or whose connection failed


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of one call; times are seconds on the monotonic clock."""

    scheduled_at: float  # when the call was due to start
    sent_at: float  # when the call started, before connecting
    ended_at: float
    status: int
    body: bytes
    opened_connection: bool = False  # whether the call opened a new connection

    @property
    def latency_us(self) -> float:
        """Microseconds from the start of the call, before connecting, to the response's last byte."""
        return (self.ended_at - self.sent_at) * 1e6

    @property
    def start_lag_us(self) -> float:
        """Microseconds from the scheduled to the actual start of the call."""
        return (self.sent_at - self.scheduled_at) * 1e6


class HttpClient:
    """Calls one address over pooled connections; opens another one when all are busy."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []

    async def call(self, request: bytes, scheduled_at: float, timeout_s: float) -> CallResult:
        """Send a request; retry it once on a new connection if the reused one has been closed.

        Args:
            request: The encoded request.
            scheduled_at: When the call was scheduled, in seconds on the monotonic clock.
            timeout_s: How long to wait for the response, in seconds.

        Returns:
            The result; its status is `NO_RESPONSE` if the connection failed or the call timed out.
        """
        sent_at = time.monotonic()
        connection = self._acquire_idle_connection()
        opened_connection = connection is None
        try:
            async with asyncio.timeout(timeout_s):
                if connection is not None:
                    try:
                        response = await self._exchange(connection, request)
                    except ConnectionError:  # the server closed it between two requests
                        opened_connection, response = True, await self._exchange_on_new_connection(request)
                else:
                    response = await self._exchange_on_new_connection(request)
        except (OSError, TimeoutError):
            return CallResult(scheduled_at, sent_at, time.monotonic(), NO_RESPONSE, b"", opened_connection)
        return CallResult(
            scheduled_at, sent_at, time.monotonic(), response.status, response.body, opened_connection
        )

    async def _exchange_on_new_connection(self, request: bytes) -> Message:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(ClientConnection, *self._address)
        return await self._exchange(connection, request)

    def _acquire_idle_connection(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open():
                return connection
        return None

    async def _exchange(self, connection: ClientConnection, request: bytes) -> Message:
        try:
            response = await connection.send(request)
        except (asyncio.CancelledError, ConnectionError):
            connection.close()
            raise
        if response.headers.get("connection", "").lower() == "close":
            connection.close()
        else:
            self._idle.append(connection)
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()


class ClientConnection(asyncio.Protocol):
    """One connection, with at most one request in flight."""

    def __init__(self) -> None:
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[Message] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fail the request in flight."""
        if self._response is not None and not self._response.done():
            self._response.set_exception(
                ConnectionResetError("connection lost before the response was complete")
            )

    def data_received(self, data: bytes) -> None:
        """Complete the request in flight with its response."""
        for response in self._reader.feed(data):
            if self._response is not None and not self._response.done():
                self._response.set_result(response)

    def is_open(self) -> bool:
        """Return whether it is established and not closed."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, request: bytes) -> asyncio.Future[Message]:
        """Write a request; return its response, or a ConnectionResetError if the connection ends before."""
        assert self._transport is not None
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._response

    def close(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()


def format_call(
    service_class: str, call_id: str, budget_s: float, idempotency_key: str | None = None
) -> bytes:
    """Encode a call as the application sends it.

    Args:
        service_class: The class of the call.
        call_id: Its unique id.
        budget_s: How long the caller waits, in seconds.
        idempotency_key: The key of a POST; without one the call is an idempotent GET.
    """
    headers = {
        "Host": "app.svc",
        "X-Call-Id": call_id,
        "X-Call-Class": service_class,
        "X-Budget": f"{budget_s:.3f}",
    }
    if idempotency_key is None:
        return format_request("GET", f"/api/{call_id}", headers)
    return format_request("POST", f"/api/{call_id}", headers | {"Idempotency-Key": idempotency_key})
