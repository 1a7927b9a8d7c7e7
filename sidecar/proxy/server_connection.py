"""One connection to a server: carries one request at a time, and its response."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import Protocol

from sidecar.proxy import sockets
from sidecar.proxy.addresses import Address
from sidecar.proxy.buffer_budget import DataPurpose
from sidecar.proxy.dialing import LOCAL_ERRNOS, close_quietly, connect_socket, open_socket
from sidecar.proxy.http_messages import EncodedMessage, Response
from sidecar.proxy.memory_pressure import MemoryPressure
from sidecar.proxy.paced_reading import PacedReading
from sidecar.proxy.pause_reason import PauseReason
from sidecar.proxy.request_transmission import RequestTransmission
from sidecar.proxy.response_reader import (
    MalformedResponseError,
    ReceivedResponse,
    ResponseReader,
    TruncatedResponseError,
)
from sidecar.proxy.sockets import READ_BUFFER_BYTES, SharedBufferProtocol, is_receive_queue_empty
from sidecar.proxy.syntax_check import DEFAULT_MAX_MATCH_BYTES

log = logging.getLogger(__name__)


class ResponseCallback(Protocol):
    """A callback that is called once, when a request on a connection is over."""

    def __call__(self, response: Response | None, /) -> None:
        """Handle the complete response; None: there is none, and the connection is closed."""


class ServerConnection(SharedBufferProtocol):
    """A connection to a server.

    Attributes:
        sock: The connected socket.
        is_reusable: Whether it may carry another request; once False, it stays False.
        has_protocol_error: Whether it has received a malformed response, or more than one response.
        has_local_failure: Whether it broke for a cause on this machine.
        on_lost: Called once when it is closed.
        memory: Keeps the data of all connections within a limit; None: there is none.
        purpose: What its data is buffered for.
    """

    def __init__(
        self, sock: socket.socket, max_body_bytes: int, response_timeout_s: float | None = None
    ) -> None:
        """Create the protocol of a connected socket.

        Args:
            sock: The socket.
            max_body_bytes: Longer responses count as malformed.
            response_timeout_s: Seconds that a response may take from its first byte on; None: unlimited.
        """
        self.sock = sock
        self.is_reusable = True
        self.has_protocol_error = False
        self.has_local_failure = False
        self.on_lost: Callable[[], None] = lambda: None
        self.memory: MemoryPressure | None = None
        self.purpose = DataPurpose.RESPONSE
        self._is_reading_paused = False  # for lack of memory
        self._max_body_bytes = max_body_bytes
        self._response_timeout_s = response_timeout_s
        self._response_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._pacing: PacedReading | None = None
        self._transmission: RequestTransmission | None = None
        self._response_reader: ResponseReader | None = None
        self._on_response: ResponseCallback | None = None  # None: no request is in flight

    @property
    def is_request_written(self) -> bool:
        """Whether the last byte of the latest request has been handed to the kernel."""
        return self._transmission is not None and self._transmission.is_complete

    def is_idle(self) -> bool:
        """Return whether it may carry another request now.

        It may not if the kernel holds an end of the stream or bytes that the event loop has not read yet.
        """
        is_open = self._transport is not None and not self._transport.is_closing()
        return (
            is_open and self.is_reusable and self._on_response is None and is_receive_queue_empty(self.sock)
        )

    def request(
        self,
        data: bytes | EncodedMessage,
        on_response: ResponseCallback,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Write a request; no other may be in flight.

        Args:
            data: The encoded request.
            on_response: Called once when the request is over.
            is_wanted: Returns whether the last byte of a long request may still be written.
        """
        assert self._transport is not None
        self._on_response = on_response
        max_match_bytes = DEFAULT_MAX_MATCH_BYTES if self.memory is None else self.memory.max_match_bytes
        self._response_reader = ResponseReader(self._max_body_bytes, max_match_bytes)
        self._transmission = RequestTransmission(self._transport, is_wanted)
        self._transmission.start(data if isinstance(data, EncodedMessage) else EncodedMessage(data))
        if self._transport.get_write_buffer_size():
            self._account_buffer()

    def abort(self) -> None:
        """Close at once; what has not been written or parsed yet never will be."""
        self.is_reusable = False
        if self._pacing is not None:
            self._pacing.stop()
        if self._transport is not None:
            self._transport.abort()

    def shutdown_and_abort(self) -> None:
        """Close, and stop sending before this returns.

        Guards the rule that one copy of a request is in flight at a time: the transport closes only in the
        next iteration of the event loop, and another copy may be written before that.
        """
        with contextlib.suppress(OSError):  # the connection has broken already
            self.sock.shutdown(socket.SHUT_WR)
        self.abort()

    # -- Called by the transport ----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and make it report whenever its write buffer is empty."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._pacing = PacedReading(transport, self._has_backlog, self._parse)
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Continue with a long request: the transport's write buffer is empty."""
        if self._on_response is not None and self._transmission is not None:
            self._transmission.on_buffer_empty()
            self._account_buffer()

    def readable_bytes(self) -> int:
        """Return how many bytes may be read at once: as many as may be buffered."""
        return READ_BUFFER_BYTES if self.memory is None else self.memory.readable_bytes(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes without a request in flight close the connection."""
        if self._on_response is None:
            self.abort()
            return
        assert self._response_reader is not None
        self._response_reader.receive(data)
        self._parse()
        self._start_response_timer()
        self._account_buffer()

    def eof_received(self) -> bool:
        """Complete a response that announces no length; the transport then closes."""
        self.is_reusable = False
        if self._response_reader is not None:
            self._handle_parsed(self._response_reader.finish)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, and of the request that is in flight on it."""
        self.is_reusable = False
        if self._pacing is not None:
            self._pacing.stop()
        self.has_local_failure = isinstance(exc, OSError) and exc.errno in LOCAL_ERRNOS
        self._cancel_response_timer()
        if self._transmission is not None:
            self._transmission.stop()
        self._free_response()
        self._notify(None)
        self.on_lost()

    # -- Memory ---------------------------------------------------------------------------------------

    @property
    def buffered_bytes(self) -> int:
        """The size of an incomplete response, and of what has not been written of a request."""
        response_bytes = self._response_reader.buffered_bytes if self._response_reader is not None else 0
        unwritten_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return response_bytes + unwritten_bytes

    def _account_buffer(self) -> None:
        """Record how much is buffered, unless a response was complete at once."""
        if self.memory is not None and self._on_response is not None:
            self.memory.buffer_changed(self)

    def is_incomplete(self) -> bool:
        """Return whether a part of a response has been received, and more is expected."""
        return self._response_reader is not None and self._response_reader.has_begun()

    def pause_reading(self, _reason: PauseReason) -> None:
        """Stop reading until there is memory for the rest of the response; its time limit still applies."""
        if self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self, _reason: PauseReason) -> None:
        """Read on, unless received data waits to be parsed."""
        self._is_reading_paused = False
        is_parsing_deferred = self._pacing is not None and self._pacing.is_paused
        if self._transport is not None and not is_parsing_deferred:
            self._transport.resume_reading()

    def _free_response(self) -> None:
        """Free what was received of the response."""
        self._response_reader = None
        if self.memory is not None:
            self.memory.release(self)
        if self._is_reading_paused:
            self.resume_reading(PauseReason.MEMORY)

    # -- The response ---------------------------------------------------------------------------------

    def _has_backlog(self) -> bool:
        return self._response_reader is not None and self._response_reader.has_backlog

    def _parse(self, max_events: int | None = None) -> None:
        """Parse received data; the rest of a response that takes long is parsed in turns.

        Args:
            max_events: How many events to parse at most; None: as many as the response may take at once.
        """
        if self._response_reader is not None:
            self._handle_parsed(partial(self._response_reader.parse, max_events))
        if self._pacing is not None:
            self._pacing.update()
        if self._is_reading_paused and self._transport is not None:
            self._transport.pause_reading()  # the pacing may have resumed it

    def _handle_parsed(self, parse: Callable[[], ReceivedResponse | None]) -> None:
        """Call a method of the response reader, and handle the response if it is complete."""
        try:
            received = parse()
        except MalformedResponseError as error:
            self._reject_response(str(error))
        except TruncatedResponseError:
            self._finish(None)
        else:
            if received is not None:
                self._accept_response(received)

    def _accept_response(self, received: ReceivedResponse) -> None:
        self.has_protocol_error = received.has_excess_data
        self._finish(received.response, is_reusable=received.keep_alive)

    def _reject_response(self, reason: str) -> None:
        """Discard a malformed response: the request ran, and the connection can't be reused."""
        log.debug("malformed response: %s", reason)
        self.has_protocol_error = True
        self._finish(None)

    def _finish(self, response: Response | None, *, is_reusable: bool = False) -> None:
        self._free_response()
        self._cancel_response_timer()
        if not is_reusable or not self.is_request_written:
            self.abort()
        self._notify(response)

    def _notify(self, response: Response | None) -> None:
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(response)

    def _start_response_timer(self) -> None:
        if self._response_timer is not None or self._response_timeout_s is None:
            return
        if self._response_reader is None or not self._response_reader.has_begun():
            return
        loop = asyncio.get_running_loop()
        self._response_timer = loop.call_later(self._response_timeout_s, self._on_response_timeout)

    def _on_response_timeout(self) -> None:
        """Reject the response, unless it is this side that delays it: then the server gets as long again."""
        self._response_timer = None
        if self._pacing is not None and self._pacing.is_paused:
            self._start_response_timer()
        else:
            self._reject_response("incomplete after the response timeout")

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None


async def connect(
    address: Address,
    max_body_bytes: int,
    response_timeout_s: float | None = None,
    sock: socket.socket | None = None,
) -> ServerConnection:
    """Connect to a server.

    Args:
        address: Address that it listens on.
        max_body_bytes: Longer responses count as malformed.
        response_timeout_s: Seconds that a response may take from its first byte on; None: unlimited.
        sock: A socket that is ready for a non-blocking connect; None: a new one.

    Returns:
        The established connection.

    Raises:
        LocalDialError: It failed for a cause on this machine.
        OSError: It failed for any other cause.
    """
    sock = sock or open_socket(partial(sockets.new_socket, address))
    protocol_factory = partial(ServerConnection, sock, max_body_bytes, response_timeout_s)
    try:
        await connect_socket(sock, address)
        _, connection = await asyncio.get_running_loop().create_connection(protocol_factory, sock=sock)
    except BaseException:
        close_quietly(sock)
        raise
    return connection
