"""Connections to the registry, and the listeners that accept them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from scale.http_client import Address
from scale.standins.registry_protocol import Call, MalformedCallError, parse_call
from scale.standins.registry_state import Availability, RegistryState
from scale.standins.tcp_info import count_segments

OVERLOAD_DELAY_S = 2.0  # how long an overloaded registry delays its 503
_MAXIMUM_HEAD_BYTES = 8 * 1024
_WRITE_CHUNK_BYTES = 64 * 1024  # limits how much of a response is buffered for a slow reader
_SAMPLING_INTERVAL = 16  # TCP segments are counted on one in this many connections


@dataclass(frozen=True, slots=True)
class ObservedCall:
    """A call that shows which version its caller has applied."""

    at_s: float  # seconds on the monotonic clock, which all processes of the machine share
    after: int  # the version that the caller has applied


@dataclass(slots=True)
class ListenerTraffic:
    """The traffic of one listener since the start."""

    calls: int = 0
    http_bytes: int = 0  # in both directions, without TCP and IP headers


@dataclass(slots=True)
class Listener:
    """An address at which the registry is reached."""

    server: asyncio.Server
    address: Address
    is_partitioned: bool = False
    observed_calls: list[ObservedCall] | None = None  # None: calls are not recorded
    traffic: ListenerTraffic = field(default_factory=ListenerTraffic)
    connections: set[RegistryConnection] = field(default_factory=set)


class RegistryConnection(asyncio.Protocol):
    """One connection; reads calls and responds to them one at a time."""

    def __init__(self, state: RegistryState, listener: Listener) -> None:
        self.is_blackholed = False  # whether all input is ignored and nothing is written
        self._state = state
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._unparsed = b""
        self._current_call: Call | None = None
        self._response_timer: asyncio.TimerHandle | None = None
        self._unwritten = memoryview(b"")  # the rest of the current response's body
        self._is_sampled = False  # whether the TCP segments of this connection are counted
        self._can_write = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_CHUNK_BYTES)
        self._listener.connections.add(self)
        counters = self._state.counters
        counters.connections += 1
        self._is_sampled = counters.connections % _SAMPLING_INTERVAL == 0

    def data_received(self, data: bytes) -> None:
        """Read calls; data is discarded while the connection is blackholed or the listener partitioned."""
        self._state.counters.bytes_in += len(data)
        self._listener.traffic.http_bytes += len(data)
        if self.is_blackholed or self._listener.is_partitioned:
            return
        self._unparsed += data
        self._read_call()

    def _read_call(self) -> None:
        if self._current_call is not None:
            return  # a call on a connection is served only after the response to the previous one
        head, end, rest = self._unparsed.partition(b"\r\n\r\n")
        if not end:
            if len(self._unparsed) > _MAXIMUM_HEAD_BYTES:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._unparsed = rest
        self._state.counters.calls += 1
        self._listener.traffic.calls += 1
        try:
            self._current_call = parse_call(head)
        except MalformedCallError as error:
            self._reject(error.status)
        else:
            self._dispatch(self._current_call)

    def _reject(self, status: HTTPStatus) -> None:
        self._state.counters.malformed += 1
        self._current_call = Call(None, 0, False)
        self._write(status, b"")

    def _dispatch(self, call: Call) -> None:
        loop = asyncio.get_running_loop()
        if self._listener.observed_calls is not None and call.after is not None:
            self._listener.observed_calls.append(ObservedCall(time.monotonic(), call.after))
        availability = self._state.availability
        if availability is Availability.DOWN:
            self._respond()
        elif availability is Availability.OVERLOADED:
            self._response_timer = loop.call_later(OVERLOAD_DELAY_S, self.complete_watch)
        elif call.after == self._state.change_log.version and call.wait_ms:
            self._state.add_watch(self)
            self._response_timer = loop.call_later(call.wait_ms / 1000, self.complete_watch)
        else:
            self._respond()

    def complete_watch(self) -> None:
        """Respond to the pending call, whether or not anything changed."""
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None
        self._state.remove_watch(self)
        if not (self.is_blackholed or self._listener.is_partitioned):
            self._respond()

    def _respond(self) -> None:
        call, counters, change_log = self._current_call, self._state.counters, self._state.change_log
        assert call is not None
        if self._state.availability is not Availability.UP:
            counters.unavailable += 1
            self._write(HTTPStatus.SERVICE_UNAVAILABLE, b"")
            return
        response = change_log.snapshot() if call.after is None else change_log.delta_since(call.after)
        if response.is_snapshot:
            counters.snapshots += 1
        elif call.after == change_log.version:
            counters.empty += 1
        else:
            counters.deltas += 1
        self._write(HTTPStatus.OK, response.body)

    def _write(self, status: HTTPStatus, body: bytes) -> None:
        assert self._transport is not None
        assert self._current_call is not None
        close_header = b"" if self._current_call.keep_alive else b"Connection: close\r\n"
        head_format = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n%bContent-Length: %d\r\n\r\n"
        encoded_head = head_format % (status, status.phrase.encode(), close_header, len(body))
        self._state.counters.bytes_out += len(encoded_head) + len(body)
        self._listener.traffic.http_bytes += len(encoded_head) + len(body)
        first_part_bytes = _WRITE_CHUNK_BYTES - len(encoded_head)
        self._unwritten = memoryview(body)[first_part_bytes:]
        self._transport.write(encoded_head + body[:first_part_bytes])
        self._continue_writing()

    def _continue_writing(self) -> None:
        assert self._transport is not None
        while self._unwritten and self._can_write and not self._transport.is_closing():
            chunk, self._unwritten = (
                self._unwritten[:_WRITE_CHUNK_BYTES],
                self._unwritten[_WRITE_CHUNK_BYTES:],
            )
            self._transport.write(chunk)
        if not self._unwritten:
            self._end_call()

    def _end_call(self) -> None:
        call, self._current_call = self._current_call, None
        if call is None or self._transport is None:
            return
        if call.keep_alive:
            asyncio.get_running_loop().call_soon(self._read_call)
        else:
            self._transport.close()

    def pause_writing(self) -> None:
        """Stop writing until the transport's buffer has drained."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Continue to write the response, as the transport's buffer has drained."""
        self._can_write = True
        if self._unwritten:
            self._continue_writing()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection and its pending watch."""
        if self._is_sampled:
            self._count_segments()
        self._listener.connections.discard(self)
        self._state.remove_watch(self)
        if self._response_timer is not None:
            self._response_timer.cancel()
        self._unwritten = memoryview(b"")

    def _count_segments(self) -> None:
        """Add the segments of this connection to the counters.

        The few segments that the close in progress still exchanges are not included.
        """
        assert self._transport is not None
        segments = count_segments(self._transport.get_extra_info("socket"))
        if segments is not None:
            self._state.counters.sampled_segments += segments
            self._state.counters.sampled_connections += 1

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
