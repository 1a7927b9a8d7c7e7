"""A stand-in for discovery: the registry's protocol over HTTP/1.1 on loopback, for thousands of watchers.

It answers calls in turn on one event loop.  Several listeners show one registry, so that sidecars can be
moved from one address to another, and some of them be cut off while the others go on.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
import time
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from urllib.parse import parse_qsl

from scale.standins.change_log import ChangeLog

PATH = "/registry/instances"
WAIT_MOST_MS = 60_000
OVERLOAD_WAIT_S = 2.0  # how long an overloaded registry lets a call wait before it ends it with 503
SEGMENT_HEADER_BYTES = 52  # of IPv4 and of TCP with time stamps, for each segment
_HEAD_MOST = 8 * 1024
_PART = 64 * 1024  # of an answer, given to the kernel at once: bounds what a slow reader holds in memory
_BACKLOG = 4_096
_SAMPLED = 16  # the segments of one connection in so many are counted
_SEGMENTS_AT = 136  # offset of tcpi_segs_out and tcpi_segs_in in Linux's struct tcp_info
_TCP_INFO_BYTES = 192
_REQUEST_LINE = re.compile(rb"([A-Z]+) (/[!-~]*) HTTP/1\.([01])")
_HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*")
_BODY_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

Address = tuple[str, int]


class Availability(StrEnum):
    """How the registry treats calls."""

    UP = "up"
    DOWN = "down"  # watches end and each call is answered 503 at once
    OVERLOADED = "overloaded"  # calls wait, and then are answered 503


@dataclass(slots=True)
class RegistryCounts:
    """What the registry has done since its start."""

    connections: int = 0
    calls: int = 0
    snapshots: int = 0  # answers with the whole list
    deltas: int = 0  # answers with at least one changed entry
    empty: int = 0  # watches that ended with nothing new
    refused: int = 0  # answers 503
    malformed: int = 0  # answers 400, 404 and 405
    bytes_in: int = 0  # HTTP, without the headers of TCP and IP
    bytes_out: int = 0
    sampled_connections: int = 0
    sampled_segments: int = 0  # TCP segments, both ways, on the sampled connections
    watching: int = 0  # watches that wait at this moment


@dataclass(frozen=True, slots=True)
class Call:
    """One request, as read."""

    after: int | None  # None: the whole list
    wait_ms: int
    keep_alive: bool


class MalformedCallError(Exception):
    """A request that this registry does not serve, with the status that says so."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


def parse_call(head: bytes) -> Call:
    """Read a head without its blank line; raise MalformedCallError on all but the protocol's GET."""
    first, *rest = head.split(b"\r\n")
    line = _REQUEST_LINE.fullmatch(first)
    if line is None:
        raise MalformedCallError(HTTPStatus.BAD_REQUEST)
    method, target, minor = line.groups()
    headers = {}
    for each in rest:
        header = _HEADER_LINE.fullmatch(each)
        if header is None:
            raise MalformedCallError(HTTPStatus.BAD_REQUEST)
        headers[header[1].lower()] = header[2]
    if method != b"GET":
        raise MalformedCallError(HTTPStatus.METHOD_NOT_ALLOWED)
    has_body = not _BODY_HEADERS.isdisjoint(headers)
    if has_body or (minor == b"1" and b"host" not in headers):
        raise MalformedCallError(HTTPStatus.BAD_REQUEST)
    path, _, query = target.decode("ascii").partition("?")
    if path != PATH:
        raise MalformedCallError(HTTPStatus.NOT_FOUND)
    after, wait_ms = _parse_query(query)
    keep_alive = minor == b"1" and headers.get(b"connection", b"").lower() != b"close"
    return Call(after, wait_ms, keep_alive)


def _parse_query(query: str) -> tuple[int | None, int]:
    try:
        values = {name: int(value) for name, value in parse_qsl(query, strict_parsing=bool(query))}
    except ValueError as error:
        raise MalformedCallError(HTTPStatus.BAD_REQUEST) from error
    after, wait_ms = values.get("after"), values.get("wait_ms", 0)
    if values.keys() - {"after", "wait_ms"} or wait_ms < 0 or (after is None and wait_ms):
        raise MalformedCallError(HTTPStatus.BAD_REQUEST)
    return after, min(wait_ms, WAIT_MOST_MS)


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """A call that says which version its caller holds."""

    at_s: float  # monotonic clock, alike in all processes of the machine
    after: int


@dataclass(slots=True)
class ListenerTraffic:
    """What went through one listener since the start."""

    calls: int = 0
    http_bytes: int = 0  # both ways, without the headers of TCP and IP


@dataclass(slots=True)
class Listener:
    """An address at which the registry is reached."""

    server: asyncio.Server
    address: Address
    silent: bool = False
    observed: list[ObservedCall] | None = None  # what was called here, where that is noted
    traffic: ListenerTraffic = field(default_factory=ListenerTraffic)
    connections: set[RegistryConnection] = field(default_factory=set)


class RegistryServer:
    """Serves one change log at one or more addresses."""

    def __init__(self, change_log: ChangeLog) -> None:
        self.change_log = change_log
        self.counts = RegistryCounts()
        self._availability = Availability.UP
        self._listeners: list[Listener] = []
        self._watches: dict[RegistryConnection, None] = {}  # in the order in which they came
        change_log.on_commit = self._end_watches

    async def start(self, listeners: int = 1, observed: int = 0) -> list[Address]:
        """Listen on loopback at ports picked by the kernel, and return the addresses.

        The calls at the last `observed` of the listeners are noted: where one sidecar alone uses such an
        address, they tell when it held which version.
        """
        for index in range(listeners):
            await self._listen(index >= listeners - observed)
        return [listener.address for listener in self._listeners]

    async def _listen(self, observed: bool) -> None:
        loop = asyncio.get_running_loop()
        accepted: list[Listener] = []  # filled before the loop can accept anything

        def new_connection() -> RegistryConnection:
            return RegistryConnection(self, accepted[0])

        server = await loop.create_server(
            new_connection, "127.0.0.1", 0, backlog=_BACKLOG, start_serving=False
        )
        host, port = server.sockets[0].getsockname()
        accepted.append(Listener(server, (host, port), observed=[] if observed else None))
        self._listeners.append(accepted[0])
        await server.start_serving()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        for listener in self._listeners:
            listener.server.close()
            for connection in list(listener.connections):
                connection.abort()
            await listener.server.wait_closed()
        self._listeners.clear()

    def observed_calls(self, listener: int) -> list[ObservedCall]:
        """The calls noted at a listener, the oldest first; empty where none are noted."""
        return list(self._listeners[listener].observed or ())

    def traffic(self, listener: int) -> ListenerTraffic:
        """What went through a listener since the start."""
        return self._listeners[listener].traffic

    @property
    def availability(self) -> Availability:
        """How calls are treated."""
        return self._availability

    def set_availability(self, availability: Availability) -> None:
        """Go down, become overloaded or come back; watches end unless the registry is up."""
        self._availability = availability
        if availability is not Availability.UP:
            self._end_watches()

    def set_silent(self, listener: int, silent: bool) -> None:
        """Cut off those who come by a listener, or end that.

        Its connections stay open and nothing more is read or written on them; they are reset at the end, as
        by a machine that is back.  Unlike on a network, new connections come up here: the kernel accepts
        them.
        """
        chosen = self._listeners[listener]
        if chosen.silent and not silent:
            for connection in list(chosen.connections):
                connection.abort()
        chosen.silent = silent

    def strand_connections(self) -> None:
        """Let all open connections fall silent for good, as where another machine takes an address over."""
        for listener in self._listeners:
            for connection in listener.connections:
                connection.silent = True

    def _end_watches(self) -> None:
        watches, self._watches = self._watches, {}
        for watch in watches:
            watch.end_watch()

    def await_change(self, watch: RegistryConnection) -> None:
        """Note a watch that waits."""
        self._watches[watch] = None
        self.counts.watching = len(self._watches)

    def forget(self, watch: RegistryConnection) -> None:
        """Note that a watch waits no longer."""
        self._watches.pop(watch, None)
        self.counts.watching = len(self._watches)


class RegistryConnection(asyncio.Protocol):
    """One connection: reads calls, one at a time, and answers them."""

    def __init__(self, server: RegistryServer, listener: Listener) -> None:
        self.silent = False  # whether nothing is read or written any more
        self._server = server
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._unread = b""
        self._call: Call | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._body = memoryview(b"")  # what is left to write of an answer
        self._sampled = False
        self._writable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_PART)
        self._listener.connections.add(self)
        counts = self._server.counts
        counts.connections += 1
        self._sampled = counts.connections % _SAMPLED == 0

    def data_received(self, data: bytes) -> None:
        self._server.counts.bytes_in += len(data)
        self._listener.traffic.http_bytes += len(data)
        if self.silent or self._listener.silent:
            return
        self._unread += data
        self._read_call()

    def _read_call(self) -> None:
        if self._call is not None:
            return  # answered first: calls on a connection are taken in order
        head, end, rest = self._unread.partition(b"\r\n\r\n")
        if not end:
            if len(self._unread) > _HEAD_MOST:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._unread = rest
        self._server.counts.calls += 1
        self._listener.traffic.calls += 1
        try:
            self._call = parse_call(head)
        except MalformedCallError as error:
            self._reject(error.status)
        else:
            self._take(self._call)

    def _reject(self, status: HTTPStatus) -> None:
        self._server.counts.malformed += 1
        self._call = Call(None, 0, False)
        self._write(status, b"")

    def _take(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        if self._listener.observed is not None and call.after is not None:
            self._listener.observed.append(ObservedCall(time.monotonic(), call.after))
        availability = self._server.availability
        if availability is Availability.DOWN:
            self._answer()
        elif availability is Availability.OVERLOADED:
            self._timer = loop.call_later(OVERLOAD_WAIT_S, self.end_watch)
        elif call.after == self._server.change_log.version and call.wait_ms:
            self._server.await_change(self)
            self._timer = loop.call_later(call.wait_ms / 1000, self.end_watch)
        else:
            self._answer()

    def end_watch(self) -> None:
        """Answer the call that waits, whatever there is to tell."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._server.forget(self)
        if not (self.silent or self._listener.silent):
            self._answer()

    def _answer(self) -> None:
        call, counts, change_log = self._call, self._server.counts, self._server.change_log
        assert call is not None
        if self._server.availability is not Availability.UP:
            counts.refused += 1
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, b"")
            return
        answer = change_log.snapshot() if call.after is None else change_log.since(call.after)
        if answer.is_snapshot:
            counts.snapshots += 1
        elif call.after == change_log.version:
            counts.empty += 1
        else:
            counts.deltas += 1
        self._write(HTTPStatus.OK, answer.body)

    def _write(self, status: HTTPStatus, body: bytes) -> None:
        assert self._transport is not None
        assert self._call is not None
        close = b"" if self._call.keep_alive else b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n%bContent-Length: %d\r\n\r\n"
        written = head % (status, status.phrase.encode(), close, len(body))
        self._server.counts.bytes_out += len(written) + len(body)
        self._listener.traffic.http_bytes += len(written) + len(body)
        first = _PART - len(written)
        self._body = memoryview(body)[first:]
        self._transport.write(written + body[:first])
        self._write_on()

    def _write_on(self) -> None:
        assert self._transport is not None
        while self._body and self._writable and not self._transport.is_closing():
            part, self._body = self._body[:_PART], self._body[_PART:]
            self._transport.write(part)
        if not self._body:
            self._end_call()

    def _end_call(self) -> None:
        call, self._call = self._call, None
        if call is None or self._transport is None:
            return
        if call.keep_alive:
            asyncio.get_running_loop().call_soon(self._read_call)
        else:
            self._transport.close()

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        if self._body:
            self._write_on()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._sampled:
            self._count_segments()
        self._listener.connections.discard(self)
        self._server.forget(self)
        if self._timer is not None:
            self._timer.cancel()
        self._body = memoryview(b"")

    def _count_segments(self) -> None:
        """Count the segments so far; the few of a close that is under way are missed."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
            if len(info) >= _SEGMENTS_AT + 8:
                sent, received = struct.unpack_from("=II", info, _SEGMENTS_AT)
                self._server.counts.sampled_segments += sent + received
                self._server.counts.sampled_connections += 1

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
