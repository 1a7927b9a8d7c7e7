"""Ordinary clients beside the peers: each sends a request at intervals, and records how it ended."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from scale.http1 import format_request
from scale.http_client import Address, ClientConnection

_INTERVAL_S = 0.05
_BUDGET_S = 1.5
_LATE_S = 0.5  # a final answer may come that much after its time


@dataclass(slots=True)
class OrdinaryOutcomes:
    """How the requests of all ordinary clients ended.

    Attributes:
        sent: Count of requests.
        served: Of these, answered with 200.
        refused: Answered with 429 or 503.
        failed: Answered with another status.
        resent: Sent once more, as the kept connection was closed without an answer.
        refused_connections: Connections that could not be opened or were closed before the request was sent.
        ended_by_kill: Ended by a kill of the sidecar.
        lost: Never answered, or after its time.
        longest_s: The longest time to an answer.
        lost_reasons: Why requests were lost.
    """

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    resent: int = 0
    refused_connections: int = 0
    ended_by_kill: int = 0
    lost: int = 0
    longest_s: float = 0.0
    lost_reasons: list[str] = field(default_factory=list)

    def record_answer(self, status: int, elapsed_s: float) -> None:
        """Count an answered request."""
        self.longest_s = max(self.longest_s, elapsed_s)
        if elapsed_s > _BUDGET_S + _LATE_S:
            self.lost += 1
            self.lost_reasons.append(f"answered {status} after {elapsed_s:.2f} s")
        elif status == HTTPStatus.OK:
            self.served += 1
        elif status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            self.refused += 1
        else:
            self.failed += 1


class OrdinaryClients:
    """Clients that keep their connections, one request at a time on each.

    Attributes:
        outcomes: How their requests ended.
        killed_at: When the sidecar was killed, in seconds on the monotonic clock; kept up to date by the run.
    """

    def __init__(self, address: Address) -> None:
        self.outcomes = OrdinaryOutcomes()
        self.killed_at: list[float] = []
        self._address = address
        self._sent = 0

    async def play(self, until: float, number: int) -> None:
        """Send requests until a time on the monotonic clock."""
        connection: ClientConnection | None = None
        while time.monotonic() < until:
            connection = await self._send_one(connection, number)
            await asyncio.sleep(_INTERVAL_S)

    async def _send_one(self, kept: ClientConnection | None, number: int) -> ClientConnection | None:
        """Send a request, once more on a new connection if the kept one has been closed.

        Returns:
            The connection if it can carry another request.
        """
        started_at = time.monotonic()
        self._sent += 1
        self.outcomes.sent += 1
        request = _encode(f"{number:x}-{self._sent:x}")
        if kept is not None:
            with contextlib.suppress(ConnectionError):
                return await self._exchange(kept, request, started_at)
            self.outcomes.resent += 1
        connection = await self._connect(started_at)
        if connection is None:
            self._record_unanswered(started_at, "no connection")
            return None
        try:
            return await self._exchange(connection, request, started_at)
        except ConnectionError:
            self._record_unanswered(started_at, "closed without an answer")
            return None

    async def _exchange(
        self, connection: ClientConnection, request: bytes, started_at: float
    ) -> ClientConnection | None:
        """Send a request on a connection, and record its answer or that there is none in time.

        Returns:
            The connection if it can carry another request.

        Raises:
            ConnectionError: The connection was closed without an answer.
        """
        if not connection.is_open():
            raise ConnectionResetError
        try:
            async with asyncio.timeout(_BUDGET_S + _LATE_S):
                response = await connection.send(request)
        except TimeoutError:
            self._record_unanswered(started_at, "no answer")
            connection.close()
            return None
        self.outcomes.record_answer(response.status, time.monotonic() - started_at)
        return None if response.headers.get("connection") == "close" else connection

    async def _connect(self, started_at: float) -> ClientConnection | None:
        loop = asyncio.get_running_loop()
        while time.monotonic() < started_at + _BUDGET_S:
            try:
                async with asyncio.timeout(_BUDGET_S):
                    _, connection = await loop.create_connection(ClientConnection, *self._address)
            except OSError:
                self.outcomes.refused_connections += 1
                await asyncio.sleep(_INTERVAL_S)
            else:
                return connection
        return None

    def _record_unanswered(self, started_at: float, reason: str) -> None:
        now = time.monotonic()
        if any(started_at - _BUDGET_S <= each <= now for each in self.killed_at):
            self.outcomes.ended_by_kill += 1
            return
        self.outcomes.lost += 1
        self.outcomes.lost_reasons.append(f"{reason} after {now - started_at:.2f} s")


def _encode(unique: str) -> bytes:
    headers = {
        "Host": "app.svc",
        "X-Call-Id": f"ordinary-{unique}",
        "X-Call-Class": "read",
        "X-Budget": f"{_BUDGET_S:.3f}",
    }
    return format_request("GET", f"/api/serve/{unique}", headers)
