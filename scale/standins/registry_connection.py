"""Connections to the registry: each reads calls and responds to them, one at a time."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from scale.http_client import Address
from scale.standins.registry_protocol import Call, MalformedCallError, parse_call
from scale.standins.registry_state import Availability, RegistryState
from scale.standins.tcp_info import count_segments

OVERLOAD_WAIT_S = 2.0  # how long an overloaded registry delays a 503
_MAXIMUM_HEAD_BYTES = 8 * 1024
_CHUNK_BYTES = 64 * 1024  # written at once: bounds the memory of a slow reader's response
_SAMPLING_INTERVAL = 16  # TCP segments are counted on one of so many connections


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """A call that shows which version its caller has applied."""

    at_s: float  # monotonic clock, which all processes of the machine share
    after: int


@dataclass(slots=True)
class ListenerTraffic:
    """The traffic of one listener since the start."""

    calls: int = 0
    http_bytes: int = 0  # both ways, without the headers of TCP and IP


@dataclass(slots=True)
class Listener:
    """An address at which the registry is reached."""

    server: asyncio.Server
    address: Address
    partitioned: bool = False
    observed: list[ObservedCall] | None = None  # its calls; None if they are not recorded
    traffic: ListenerTraffic = field(default_factory=ListenerTraffic)
    connections: set[RegistryConnection] = field(default_factory=set)


class RegistryConnection(asyncio.Protocol):
    """One connection: reads calls and responds to them, one at a time."""

    def __init__(self, state: RegistryState, listener: Listener) -> None:
        self.blackholed = False  # whether all input is ignored, and nothing is written
        self._state = state
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._unread = b""
        self._call: Call | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._body = memoryview(b"")  # the unwritten rest of a response
        self._sampled = False
        self._writable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_CHUNK_BYTES)
        self._listener.connections.add(self)
        counts = self._state.counts
        counts.connections += 1
        self._sampled = counts.connections % _SAMPLING_INTERVAL == 0

    def data_received(self, data: bytes) -> None:
        """Read the calls received, unless the listener is partitioned."""
        self._state.counts.bytes_in += len(data)
        self._listener.traffic.http_bytes += len(data)
        if self.blackholed or self._listener.partitioned:
            return
        self._unread += data
        self._read_call()

    def _read_call(self) -> None:
        if self._call is not None:
            return  # calls on a connection are served in order
        head, end, rest = self._unread.partition(b"\r\n\r\n")
        if not end:
            if len(self._unread) > _MAXIMUM_HEAD_BYTES:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._unread = rest
        self._state.counts.calls += 1
        self._listener.traffic.calls += 1
        try:
            self._call = parse_call(head)
        except MalformedCallError as error:
            self._reject(error.status)
        else:
            self._dispatch(self._call)

    def _reject(self, status: HTTPStatus) -> None:
        self._state.counts.malformed += 1
        self._call = Call(None, 0, False)
        self._write(status, b"")

    def _dispatch(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        if self._listener.observed is not None and call.after is not None:
            self._listener.observed.append(ObservedCall(time.monotonic(), call.after))
        availability = self._state.availability
        if availability is Availability.DOWN:
            self._respond()
        elif availability is Availability.OVERLOADED:
            self._timer = loop.call_later(OVERLOAD_WAIT_S, self.complete_watch)
        elif call.after == self._state.change_log.version and call.wait_ms:
            self._state.add_watch(self)
            self._timer = loop.call_later(call.wait_ms / 1000, self.complete_watch)
        else:
            self._respond()

    def complete_watch(self) -> None:
        """Respond to the pending call, whether or not anything changed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._state.remove_watch(self)
        if not (self.blackholed or self._listener.partitioned):
            self._respond()

    def _respond(self) -> None:
        call, counts, change_log = self._call, self._state.counts, self._state.change_log
        assert call is not None
        if self._state.availability is not Availability.UP:
            counts.unavailable += 1
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, b"")
            return
        response = change_log.snapshot() if call.after is None else change_log.delta_since(call.after)
        if response.is_snapshot:
            counts.snapshots += 1
        elif call.after == change_log.version:
            counts.empty += 1
        else:
            counts.deltas += 1
        self._write(HTTPStatus.OK, response.body)

    def _write(self, status: HTTPStatus, body: bytes) -> None:
        assert self._transport is not None
        assert self._call is not None
        close = b"" if self._call.keep_alive else b"Connection: close\r\n"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n%bContent-Length: %d\r\n\r\n"
        written = head % (status, status.phrase.encode(), close, len(body))
        self._state.counts.bytes_out += len(written) + len(body)
        self._listener.traffic.http_bytes += len(written) + len(body)
        first = _CHUNK_BYTES - len(written)
        self._body = memoryview(body)[first:]
        self._transport.write(written + body[:first])
        self._write_on()

    def _write_on(self) -> None:
        assert self._transport is not None
        while self._body and self._writable and not self._transport.is_closing():
            part, self._body = self._body[:_CHUNK_BYTES], self._body[_CHUNK_BYTES:]
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
        """Stop writing until the transport's buffer has drained."""
        self._writable = False

    def resume_writing(self) -> None:
        """Write the rest of the response."""
        self._writable = True
        if self._body:
            self._write_on()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection and its watch."""
        if self._sampled:
            self._count_segments()
        self._listener.connections.discard(self)
        self._state.remove_watch(self)
        if self._timer is not None:
            self._timer.cancel()
        self._body = memoryview(b"")

    def _count_segments(self) -> None:
        """Count the segments so far, which leaves out a few of the close in progress."""
        assert self._transport is not None
        segments = count_segments(self._transport.get_extra_info("socket"))
        if segments is not None:
            self._state.counts.sampled_segments += segments
            self._state.counts.sampled_connections += 1

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
