"""A client's connection: a state machine that reads one request at a time and writes its response."""

from __future__ import annotations

import asyncio
import logging
import socket
from http import HTTPStatus

import h11

from sidecar.proxy.buffer_budget import DataPurpose
from sidecar.proxy.client_buffer import ClientBuffer
from sidecar.proxy.client_request import ClientRequest
from sidecar.proxy.connection_owner import ConnectionOwner
from sidecar.proxy.connection_state import ConnectionState
from sidecar.proxy.http_messages import Headers, encode_response
from sidecar.proxy.memory_layout import LEAST_SHARE_BYTES
from sidecar.proxy.paced_reading import PacedReading
from sidecar.proxy.parsing_queue import parsing_queue
from sidecar.proxy.pause_reason import PauseReason
from sidecar.proxy.request_errors import (
    InternalError,
    MalformedRequestError,
    MemoryShortageError,
    ParsingTimeoutError,
    RequestError,
    RequestTimeoutError,
)
from sidecar.proxy.request_lookahead import RequestLookahead
from sidecar.proxy.request_reader import MAX_BODY_BYTES, ReceivedRequest
from sidecar.proxy.request_routing import ImmediateResponse, route_request
from sidecar.proxy.request_transmission import transmission_bytes
from sidecar.proxy.sockets import READ_BUFFER_BYTES, has_peer_closed, peek_unread_bytes

log = logging.getLogger(__name__)

# Limit of the data that is read and discarded after a rejected request, or when a client pipelines too much.
# If it stayed unread, closing the connection would reset it, and the client might lose the response.
_MAX_DISCARDED_BYTES = 128 * MAX_BODY_BYTES
# While so much is unread behind a request in flight, the end of the client's stream may be unable to arrive.
_MAX_UNREAD_BYTES = 32 * 1024


class ClientConnection(ClientBuffer):
    """A connection from a client; it carries one request at a time.

    Attributes:
        purpose: What its data is buffered for.
        state: The current state; only the connection table changes it.
    """

    purpose = DataPurpose.REQUEST

    def __init__(
        self, owner: ConnectionOwner, sock: socket.socket, connected_after: float, *, shed_load: bool = False
    ) -> None:
        """Create a connection for an accepted socket.

        Args:
            owner: The frontend that accepted the connection.
            sock: The accepted socket.
            connected_after: Event loop time before which no data can have arrived, in seconds.
            shed_load: Reject the first API request because of overload.
        """
        super().__init__(sock, connected_after, owner.max_match_bytes)
        self.state = ConnectionState.READING
        self._owner = owner
        self._shed_load = shed_load
        self._request: ClientRequest | None = None  # the request in flight
        self._is_accounted = False

    # -- asyncio protocol -----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection once its transport is ready."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._pacing = PacedReading(transport, self._has_backlog, self._read_deferred)
        self.on_reading_resumed()
        transport.set_write_buffer_limits(high=0)
        self._owner.connection_opened(self, self._sock)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister the connection, and drop the request in flight and all received data.

        The data would stay in memory until the next collection of reference cycles otherwise.
        """
        if self._pacing is not None:
            self._pacing.stop()
        parsing_queue().discard(self)
        self._owner.connection_closed(self)
        self._abandon_request()
        self._discard_received()

    def eof_received(self) -> bool:
        """Close the connection: a half-closed connection counts as disconnected."""
        return False

    def readable_bytes(self) -> int:
        """Return how many bytes may be read at once: as many as may be buffered."""
        return READ_BUFFER_BYTES if self._discarded_bytes is not None else self._owner.readable_bytes(self)

    def data_received(self, data: bytes) -> None:
        """Read a request, or examine the data pipelined behind the one in flight."""
        if self._discarded_bytes is not None:
            self._discard(len(data))
        else:
            self._receive(data)
            is_complete = self.state is ConnectionState.IN_FLIGHT and self._lookahead is None
            if not is_complete or len(data) > LEAST_SHARE_BYTES:
                self._account_buffer()

    def _receive(self, data: bytes) -> None:
        if self._request is None and has_peer_closed(self._sock):
            # The client disconnected while its request waited to be read.  Handling such requests under load
            # would delay the requests of other clients until those clients give up as well.
            self.abort()
            return
        is_pipelined = self._request is not None or self._write_blocked
        self._arrival.record(continues_pipelined=is_pipelined and self._reader.unread_bytes > 0)
        self._reader.receive(data)
        if self._request is not None:
            self._lookahead = self._lookahead or RequestLookahead(self._owner.max_match_bytes)
            self._lookahead.receive(self._reader.unread)
            self._look_ahead(self._lookahead)
        elif not self._write_blocked:
            self._read()
        else:
            self._limit_pipelined()

    def resume_writing(self) -> None:
        """Continue now that the response has been fully written; called by the transport."""
        self._write_blocked = False
        self._account_buffer()
        if self._request is None and self._discarded_bytes is None:
            self._read_next_request()
        elif self._request is None:
            self._half_close()

    def parse_deferred(self, max_events: int) -> bool:
        """Look ahead by at most this number of events; return whether others can be parsed now."""
        if self._request is None or self._lookahead is None or self._discarded_bytes is not None:
            return False
        self._look_ahead(self._lookahead, max_events)
        return self._lookahead.has_backlog

    def is_idle(self) -> bool:
        """Return whether the connection may be closed: no request is in flight, partly read or unread."""
        if self.state not in (ConnectionState.READING, ConnectionState.IDLE):
            return False
        return not self.has_partial_request() and not self.has_unread_data()

    def on_state_timeout(self) -> None:
        """End the connection, unless unread data is about to change its state.

        Called when the time limit of the current state has passed, and during a graceful shutdown.
        """
        if self.state is ConnectionState.DELIVERING:
            self.abort()
        elif self._request is not None:
            self._fail_in_flight()
        elif self.is_idle():
            self.close()
        elif PauseReason.MEMORY in self._pause_reasons:
            self.reject_incomplete()
        elif self.is_parsing_deferred():
            self._reject(ParsingTimeoutError())
        elif self.state is not ConnectionState.IDLE and not self.has_unread_data():
            self._reject(RequestTimeoutError())

    def _account_buffer(self) -> None:
        self._owner.buffer_changed(self)
        self._is_accounted = self.buffered_bytes > 0

    def is_incomplete(self) -> bool:
        """Return whether a part of a request has been received, and no request is in flight."""
        return self.state is ConnectionState.READING and self.has_partial_request()

    def check_unread(self) -> None:
        """Notice that the client has disconnected although data behind a request in flight stays unread.

        A client that sends much more may not get as far as the end of its stream; its data is discarded from
        then on, and its connection closes after the response.
        """
        if self._request is None or PauseReason.BACKLOG not in self._pause_reasons:
            return
        if self.is_disconnected():
            self.abort()
        elif peek_unread_bytes(self._sock) >= _MAX_UNREAD_BYTES:
            self._discarded_bytes = 0
            self._lookahead = None
            self._reader.discard_unread()
            self._account_buffer()
            self.resume_reading(PauseReason.BACKLOG)

    def reject_incomplete(self) -> None:
        """Reject a request that has not been received completely, to free the memory of its data."""
        self._reject(MemoryShortageError())
        self._discard_received()  # also if the connection is closing already
        self.resume_reading(PauseReason.MEMORY)  # what still arrives is discarded

    # -- Reading --------------------------------------------------------------------------------------

    def _read(self, max_events: int | None = None) -> None:
        """Read at most one request, and handle it once it is complete.

        Args:
            max_events: How many events to parse at most; None: as many as the request may take at once.
        """
        try:
            request = self._reader.read(max_events)
            if request is not None:
                self._handle_request(request)
        except RequestError as error:
            self._reject(error)
        except h11.RemoteProtocolError as error:
            self._reject(MalformedRequestError(str(error)))
        except Exception:  # a defect in this program must fail only this request
            log.exception("unexpected error while handling a request")
            self._fail_unhandled()
        if self.state is ConnectionState.IDLE and self.has_partial_request():
            self._owner.change_state(self, ConnectionState.READING)
        self._update_pacing()

    def _read_deferred(self, max_events: int) -> None:
        """Continue to read a request, unless its client has disconnected in the meantime."""
        if self.is_disconnected():
            self.abort()
        else:
            self._read(max_events)

    def _fail_unhandled(self) -> None:
        """Reject the request whose handling raised an unexpected error; half-close if it was answered."""
        if self._reader.has_head:
            self._reject(InternalError())
        else:
            self._half_close()  # the response was already sent, though maybe not fully written

    def _look_ahead(self, lookahead: RequestLookahead, max_events: int | None = None) -> None:
        """Examine the data pipelined behind the request in flight.

        Args:
            lookahead: Parses the data.
            max_events: How many events to parse at most; None: as many as a request may take at once.
        """
        try:
            is_complete = lookahead.parse(max_events)
        except h11.RemoteProtocolError as error:
            log.info("client connection will close after its response: malformed pipelined data: %s", error)
            self._discarded_bytes = 0
            self._owner.change_state(self, ConnectionState.READING_PIPELINED)
            return
        if lookahead.has_backlog:
            parsing_queue().add(self)
        self._limit_pipelined()
        is_read_on = not is_complete and PauseReason.BACKLOG not in self._pause_reasons
        state = ConnectionState.READING_PIPELINED if is_read_on else ConnectionState.IN_FLIGHT
        self._owner.change_state(self, state)

    def _limit_pipelined(self) -> None:
        """Stop reading once the pipelined data reaches the limit of one connection, or of all together.

        The rest of a request that is paused in this way is read when it is its turn, without a time limit
        until then.
        """
        if self._reader.unread_bytes >= MAX_BODY_BYTES or not self._owner.readable_bytes(self):
            self.pause_reading(PauseReason.BACKLOG)

    def _discard(self, byte_count: int) -> None:
        """Count discarded data; beyond the limit, fail the request in flight or stop reading."""
        self._discarded_bytes = (self._discarded_bytes or 0) + byte_count
        if self._discarded_bytes <= _MAX_DISCARDED_BYTES:
            return
        if self._request is not None:
            self._fail_in_flight()  # reading has to stop, and a close would then go unnoticed
        elif self._transport is not None:
            self._transport.pause_reading()

    def _read_next_request(self) -> None:
        """Read the next request from the data pipelined behind the answered one."""
        self.resume_reading(PauseReason.BACKLOG)
        if self.is_closing() or self._request is not None or self._write_blocked:
            return
        if self.is_disconnected():
            self.abort()  # nobody waits for the responses to the requests that are left
            return
        self._become_idle()
        self._read()

    def _become_idle(self) -> None:
        """Enter the idle state, unless a pipelined request is partly read: its time limit keeps running."""
        if self.state is not ConnectionState.READING_PIPELINED or not self.has_partial_request():
            self._owner.change_state(self, ConnectionState.IDLE)

    # -- Handling -------------------------------------------------------------------------------------

    def _handle_request(self, received: ReceivedRequest) -> None:
        """Answer a request directly or dispatch it to the handler."""
        self._owner.change_state(self, ConnectionState.IN_FLIGHT)
        self.resume_reading(PauseReason.MEMORY)  # a close must not go unnoticed
        shed_load = self._shed_load or not self._owner.has_room(transmission_bytes(received.byte_count))
        routed = route_request(received, self._owner.handler, self._owner.settings, self, shed_load=shed_load)
        if isinstance(routed, ImmediateResponse):
            self.respond(routed.status, routed.headers, b"", close=routed.close)
        else:
            self._dispatch(routed)

    def _dispatch(self, request: ClientRequest) -> None:
        """Pass a request to the handler, or reject it if its budget expired before it was read."""
        waited_us = self._arrival.waited_us()
        if waited_us and request.budget_us <= waited_us:
            self.respond(HTTPStatus.SERVICE_UNAVAILABLE, [], b"")
            return
        request.budget_us -= waited_us
        self._request = request
        self._owner.handler.handle_request(request)

    def _abandon_request(self) -> None:
        """Let the handler drop the request in flight, if any, as if its client had disconnected."""
        request, self._request = self._request, None
        if request is not None:
            self._owner.handler.handle_disconnect(request)

    # -- Responding -----------------------------------------------------------------------------------

    def _reject(self, error: RequestError) -> None:
        """Reject the request and close the connection; anything else that the client sends is discarded."""
        log.info("request rejected: %s", error)
        self._abandon_request()
        self.respond(error.status, [(b"Content-Type", b"text/plain")], f"{error}\n".encode(), close=True)

    def _fail_in_flight(self) -> None:
        """Fail the request in flight and close the connection because of invalid data pipelined behind it."""
        log.info("closing client connection: invalid or incomplete data pipelined behind a request in flight")
        self._abandon_request()
        self.respond(HTTPStatus.INTERNAL_SERVER_ERROR, [], b"", close=True)

    def respond(self, status: int, headers: Headers, body: bytes, *, close: bool = False) -> None:
        """Write a complete response; keep the connection open where possible, unless `close` is set."""
        self._request = None
        if self.is_closing():
            return
        close = close or self._must_close()
        response = encode_response(
            status, headers, body, close=close, with_body=not self._reader.is_head_request
        )
        self._reader.discard_request()
        self._write(response)
        if close:
            self._half_close()
        else:
            self._keep_alive()
        if self._is_accounted or self._write_blocked:
            self._account_buffer()

    def _must_close(self) -> bool:
        """Return whether the connection has to be closed after the current response."""
        if self._discarded_bytes is not None or not self._reader.is_complete:
            return True
        return (
            self._owner.draining and not self._reader.unread_bytes
        )  # a pipelined request gets a response, too

    def _keep_alive(self) -> None:
        """Keep the connection open after a response, and read the next request."""
        self._reader.start_next()
        self._lookahead = None
        if self._write_blocked:
            self._owner.change_state(self, ConnectionState.DELIVERING)
            return
        self._become_idle()
        unread_bytes = self._reader.unread_bytes
        if unread_bytes >= MAX_BODY_BYTES:
            self.pause_reading(PauseReason.BACKLOG)  # a client may send faster than its requests are answered
        if unread_bytes or PauseReason.BACKLOG in self._pause_reasons:
            asyncio.get_running_loop().call_soon(self._read_next_request)

    def _half_close(self) -> None:
        """Half-close the connection and discard the data that still arrives.

        If data stayed unread, closing the connection would reset it, and the client might lose the response.
        """
        if self._transport is None or self.is_closing():
            return
        self._discarded_bytes = 0
        self._update_pacing()
        self._discard_received()
        self._owner.change_state(self, ConnectionState.DELIVERING)
        try:
            self._transport.write_eof()
        except OSError:
            self.abort()  # the client has already reset the connection
