"""A sidecar over loopback sockets, with scripted servers and discovery, and a client that sends raw bytes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from typing import Any

import pytest
from balancer_harness import KEYED, SAFE, SECOND_US, UNSAFE, settings

from sidecar.config import Config
from sidecar.proxy import sockets
from sidecar.proxy.addresses import Address
from sidecar.proxy.driver import Sidecar
from sidecar.proxy.registry_messages import parse_registry_response

TIMEOUT_S = 20.0  # limit for events that must happen; no test uses it to show that an event does not happen

Headers = dict[str, str]


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test with a time limit."""

    async def with_time_limit() -> None:
        async with asyncio.timeout(60.0):
            await scenario

    asyncio.run(with_time_limit())


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll a condition until it holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read a request or a response; return its start line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return start_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status: int = 200, body: bytes = b"done", **headers: str) -> bytes:
    """Encode a response; underscores in the names of `headers` stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


# Scripts for fake servers: each returns the response to any request.


def respond_ok(*_: object) -> bytes:
    return encode_response(200, b"served")


def never_respond(*_: object) -> None:
    """Send no response."""


def reset_connection(*_: object) -> bytes:
    """Reset the connection."""
    return b""


def reject(*_: object) -> bytes:
    """Reject the request before its execution."""
    return encode_response(503, b"", X_Rejected="1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of a process does."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class LoopbackListener:
    """A listener on a loopback port that the kernel assigns."""

    address: Address = ("127.0.0.1", 0)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class FakeServer(LoopbackListener):
    """A server whose responses `script` returns: None for no response, b"" for a connection reset."""

    def __init__(self, name: str, script: Callable[[str, Headers, bytes], bytes | None]) -> None:
        self.name = name
        self.script = script
        self.requests: list[tuple[str, Headers, bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed_by_peer = 0  # connections that the peer closed

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                reply = self.script(*request)
                if reply == b"":
                    reset(writer)
                elif reply is not None:
                    writer.write(reply)
                    if b"Connection: close" in reply:
                        return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_peer += 1
        except asyncio.CancelledError:
            pass  # the test is over
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop listening, and reset all open connections."""
        super().stop()
        for writer in self.writers:
            reset(writer)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the registry entry of this server, with some fields changed."""
        address = f"{self.address[0]}:{self.address[1]}"
        entry = {"name": self.name, "address": address, "zone": "east", "type": "m", "group": 1}
        return entry | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


class FakeDiscovery(LoopbackListener):
    """A registry that answers each call with the next item of `responses`, and waits until there is one."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.responses: asyncio.Queue[bytes | None] = asyncio.Queue()  # None: no response to that call
        self.call_log: list[str] = []  # calls, and connections that the caller closed without a response
        self.call_delays_s: list[float] = []  # from each response to the next call
        self._responded_at: float | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            request_line, _, _ = await read_message(reader)
            if self._responded_at is not None:
                self.call_delays_s.append(loop.time() - self._responded_at)
            self.targets.append(request_line.split(" ")[1])
            self.call_log.append(f"call {len(self.targets)}")
            number = len(self.targets)
            reply = await self.responses.get()
            if reply is None:
                await reader.read()
                self.call_log.append(f"closed {number}")
                return
            writer.write(reply)
            await writer.drain()
            self._responded_at = loop.time()
        writer.close()

    def has_calls(self, count: int) -> bool:
        """Return whether at least this number of calls has arrived."""
        return len(self.targets) >= count

    def push_update(self, index: int, entries: list[Any], snapshot: bool = False) -> None:
        """Answer the pending or the next call with a snapshot, or with the changes up to `index`."""
        payload = {"index": index, "snapshot": snapshot, "endpoints": entries}
        self.responses.put_nowait(encode_response(200, json.dumps(payload).encode()))


class ProxyHarness:
    """A sidecar in this process, with its servers and discovery."""

    def __init__(self, config: Config, servers: list[FakeServer], discovery: FakeDiscovery) -> None:
        self.config = config
        self.sidecar = Sidecar(config)
        self.servers = servers
        self.discovery = discovery
        self.stop = asyncio.Event()
        self._requests_sent = 0

    def server_requests(self) -> list[tuple[str, Headers, bytes]]:
        """Return all requests that reached servers, ordered by server."""
        return [request for server in self.servers for request in server.requests]

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the sidecar, as a client does."""
        return await asyncio.open_connection(*self.sidecar.frontend.address)

    async def send_request(self, **changes: Any) -> tuple[int, Headers, bytes]:
        """Send a request with a unique id on a new connection; return status, headers and body."""
        self._requests_sent += 1
        return await send_request(
            self.sidecar.frontend.address, request(**{"X_Call_Id": f"{self._requests_sent:016x}", **changes})
        )


# The classes of the balancer harness, with deadlines long enough for a slow machine.
CLASSES = [each | {"deadline_us": 600 * SECOND_US} for each in (SAFE, UNSAFE, KEYED)]
LIMITS = {"max_attempts": 3, "allow_hedging": False, "allow_cancel": True}


@contextlib.asynccontextmanager
async def running_proxy(
    *scripts: Callable[[str, Headers, bytes], bytes | None],
    sockets: int = 256,
    settled: bool = True,
    registry: FakeDiscovery | None = None,
    **changes: Any,
) -> AsyncIterator[ProxyHarness]:
    """Run a sidecar with one fake server for each script.

    Args:
        scripts: The scripts of the servers.
        sockets: The sidecar's limit on open sockets.
        settled: Whether the sidecar reports readiness at once, without waiting for its event loop to settle.
        registry: The registry; None: a new `FakeDiscovery`.
        changes: Settings that differ from those of the balancer harness.
    """
    servers = [FakeServer(f"s-{number}", script) for number, script in enumerate(scripts)]
    discovery = registry or FakeDiscovery()
    for server in servers:
        await server.start()
    await discovery.start()
    proxy_settings = settings(**{"classes": CLASSES, "limits": LIMITS, **changes})
    known = parse_registry_response(
        {"index": 41, "snapshot": True, "endpoints": [each.entry() for each in servers]}
    )
    config = Config(("127.0.0.1", 0), discovery.address, 7, sockets, proxy_settings, known)
    proxy = ProxyHarness(config, servers, discovery)
    running = asyncio.create_task(proxy.sidecar.run(proxy.stop))
    await wait_until(lambda: proxy.sidecar._balancer._has_started)
    if settled:
        proxy.sidecar._lag_monitor.mark_settled()
    try:
        yield proxy
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        for server in servers:
            server.stop()
        discovery.stop()


def request(
    kind: str = "look",
    path: str = "/api/7f3a9c21e0b4d655",
    body: bytes = b"",
    budget: str = "5.0",
    method: str | None = None,
    **headers: str | None,
) -> bytes:
    """Encode a request.

    Args:
        kind: The service class of the request.
        path: The request target.
        body: The body.
        budget: The remaining time until the deadline, in seconds.
        method: The method; None: GET for class look, POST for others.
        headers: Further headers; underscores in names stand for hyphens, and None omits a header.
    """
    all_headers: dict[str, str | None] = {
        "Host": "app.svc",
        "X-Call-Id": "9b1f03aa5c7e2d41",
        "X-Call-Class": kind,
        "X-Budget": budget,
        "Idempotency-Key": "5c0f6e1a" if kind == "amend" else None,
        "Content-Length": str(len(body)),
    }
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in all_headers.items() if value is not None]
    verb = method or ("GET" if kind == "look" else "POST")
    return "\r\n".join([f"{verb} {path} HTTP/1.1", *lines, "", ""]).encode() + body


async def send_request(address: Address, data: bytes) -> tuple[int, Headers, bytes]:
    """Send raw bytes on a new connection; return status, headers and body of the response."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    """Read a response; return its status, headers and body."""
    status_line, headers, body = await asyncio.wait_for(read_message(reader), TIMEOUT_S)
    return int(status_line.split(" ")[1]), headers, body


async def wait_for_eof(reader: asyncio.StreamReader) -> bool:
    """Wait until the peer closes the connection; return whether it sends no more data before."""
    try:
        return await asyncio.wait_for(reader.read(1), TIMEOUT_S) == b""
    except ConnectionError:
        return True


@contextlib.contextmanager
def unread_listener() -> Iterator[socket.socket]:
    """Open a listener with small receive buffers; nothing reads from its connections."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield listener


def shrink_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shrink the send buffers of new connections to servers, so that a long request needs several writes."""
    new_socket = sockets.new_socket

    def new_socket_with_small_buffer(address: Address) -> socket.socket:
        sock = new_socket(address)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    monkeypatch.setattr(sockets, "new_socket", new_socket_with_small_buffer)


@contextlib.contextmanager
def full_backlog_listener() -> Iterator[Address]:
    """Open a listener whose backlog is full, so that connections to it are never established."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(8)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    try:
        yield listener.getsockname()[:2]
    finally:
        for each in (*fillers, listener):
            each.close()
