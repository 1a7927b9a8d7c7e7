"""A server stand-in: serves HTTP/1.1 on a loopback port, as the protocol of the sidecar requires of servers.

Each connection carries one request at a time.  The body of a 200 response contains the server's name, the
number of the request on its connection, and the service time.  With these the caller can separate the
server's own time, and the cost of a new connection, from the latency added by the sidecar.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import Enum, auto
from http import HTTPStatus

import numpy as np

from scale.http1 import Message, MessageReader, format_response

_LIVENESS_PATH = "/health/live"
_BACKLOG = 512
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER, on for 0 s: close() resets the connection
_REJECTION_HEADERS = {"X-Rejected": "1"}


class ServerMode(Enum):
    """How a server responds to requests."""

    SERVE = auto()  # 200 after the service time
    ERROR = auto()  # 500 after the service time: the request may have been executed
    REJECT = auto()  # immediate 503 with X-Rejected: the request was not executed
    HANG = auto()  # no response; connections stay open
    DRAIN = auto()  # requests in flight are served; new ones are rejected, and their connections closed


@dataclass(slots=True)
class ServerCounters:
    """Counters since a server's start."""

    connections: int = 0
    requests: int = 0  # calls that were received completely; probes are counted separately
    served: int = 0
    errors: int = 0
    rejected: int = 0
    hung: int = 0  # requests that will get no response
    abandoned: int = 0  # the caller closed the connection before the response
    overlapping: int = 0  # requests received while their connection had one in flight, which is not allowed
    without_id: int = 0  # requests without X-Call-Id
    probes: int = 0


@dataclass(frozen=True, slots=True)
class ServedBody:
    """The body of a 200 response."""

    server: str
    connection_request_number: int  # 1 for the first request of its connection
    started_at: float  # when the request was received, in seconds on the machine's monotonic clock
    service_time_us: float  # from `started_at` to the response

    def encode(self) -> bytes:
        """Encode the body as JSON."""
        return json.dumps(asdict(self)).encode()

    @staticmethod
    def decode(body: bytes) -> ServedBody:
        """Decode a body.

        Raises:
            ValueError: The body is not JSON.
            TypeError: The body has other keys.
        """
        fields = json.loads(body)
        return ServedBody(**fields)


def exponential_service_times(mean_s: float, seed: int) -> Callable[[], float]:
    """Return a function that draws exponential service times in seconds, reproducible for a seed."""
    generator = np.random.default_rng(seed)
    return lambda: float(generator.exponential(mean_s))


class ServerStandin:
    """One server; `mode` may be changed at any time and applies to later requests."""

    def __init__(self, name: str, service_time_s: Callable[[], float], allow_probes: bool = False) -> None:
        self.name = name
        self.mode = ServerMode.SERVE
        self.counters = ServerCounters()
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.last_request_at = 0.0  # seconds on the monotonic clock
        self.allow_probes = allow_probes
        self.service_time_s = service_time_s
        self.connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port chosen by the kernel."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(self), self.address[0], 0, backlog=_BACKLOG
        )
        self.address = self._listener.sockets[0].getsockname()[:2]

    def drain(self) -> None:
        """Finish the requests in flight, and reject new ones."""
        self.mode = ServerMode.DRAIN

    def kill(self) -> None:
        """Stop as a killed process does: reset open connections and refuse new ones."""
        self.close()
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None


class ServerConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, server: ServerStandin) -> None:
        self._server = server
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._request_count = 0
        self._response_timer: asyncio.TimerHandle | None = None
        self._is_hanging = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._server.counters.connections += 1

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection, and cancel its request in flight."""
        self._server.connections.discard(self)
        if self._response_timer is not None or self._is_hanging:
            self._server.counters.abandoned += 1
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None

    def data_received(self, data: bytes) -> None:
        """Serve each complete request."""
        try:
            for request in self._reader.feed(data):
                self._receive(request)
        except ValueError:
            self.reset()

    def reset(self) -> None:
        """Reset the connection, as the kernel does for a killed process."""
        if self._transport is None or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def _receive(self, request: Message) -> None:
        server, counters = self._server, self._server.counters
        if self._response_timer is not None or self._is_hanging:
            counters.overlapping += 1
            self.reset()
        elif request.target == _LIVENESS_PATH and server.allow_probes:
            counters.probes += 1
            is_healthy = server.mode is ServerMode.SERVE
            self._write(HTTPStatus.OK if is_healthy else HTTPStatus.SERVICE_UNAVAILABLE)
        elif "x-call-id" not in request.headers:
            counters.without_id += 1
            self._write(HTTPStatus.NOT_FOUND)
        else:
            counters.requests += 1
            self._request_count += 1
            server.last_request_at = time.monotonic()
            self._handle_call(server.mode)

    def _handle_call(self, mode: ServerMode) -> None:
        counters = self._server.counters
        if mode is ServerMode.REJECT:
            counters.rejected += 1
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, _REJECTION_HEADERS)
        elif mode is ServerMode.DRAIN:
            counters.rejected += 1
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, _REJECTION_HEADERS | {"Connection": "close"})
            if self._transport is not None:
                self._transport.close()
        elif mode is ServerMode.HANG:
            counters.hung += 1
            self._is_hanging = True
        else:
            started_at = time.monotonic()
            service_s = self._server.service_time_s()
            loop = asyncio.get_running_loop()
            self._response_timer = loop.call_later(service_s, self._respond, mode, started_at)

    def _respond(self, mode: ServerMode, started_at: float) -> None:
        self._response_timer = None
        if mode is ServerMode.ERROR:
            self._server.counters.errors += 1
            self._write(HTTPStatus.INTERNAL_SERVER_ERROR)
            return
        self._server.counters.served += 1
        service_time_us = (time.monotonic() - started_at) * 1e6
        served = ServedBody(self._server.name, self._request_count, started_at, service_time_us)
        self._write(HTTPStatus.OK, body=served.encode())

    def _write(self, status: HTTPStatus, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
        if self._transport is not None:
            self._transport.write(format_response(status, headers or {}, body))
