"""A client's connection: a state machine that reads one request at a time and writes its response."""

from __future__ import annotations

import asyncio
import logging
import socket
from http import HTTPStatus
from typing import Protocol

import h11

from sidecar.proxy.client_request import (
    API_PATH,
    ClientRequest,
    RequestHandler,
    parse_request,
    retry_after_header,
)
from sidecar.proxy.connection_state import ConnectionState
from sidecar.proxy.event_loop import NEGLIGIBLE_WAIT_S, earliest_arrival
from sidecar.proxy.http_messages import Headers, encode_message
from sidecar.proxy.request_errors import (
    BadRequestError,
    InternalError,
    MalformedRequestError,
    PathNotFoundError,
    RequestIdInUseError,
    RequestTimeoutError,
)
from sidecar.proxy.request_reader import MAX_BODY_BYTES, ReceivedRequest, RequestReader
from sidecar.proxy.sockets import SharedBufferProtocol, has_peer_closed, is_receive_queue_empty
from sidecar.settings import Settings

log = logging.getLogger(__name__)

_READINESS_PATH = b"/health/ready"
# Discarded behind a rejected request or far ahead of a response, so that the response arrives.
_MAX_DISCARDED_BYTES = 128 * MAX_BODY_BYTES
_REASON_PHRASES: dict[int, bytes] = {
    status: status.phrase.encode()
    for status in (
        HTTPStatus.OK,
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
    )
}


class ConnectionOwner(Protocol):
    """What a connection needs of the frontend that has accepted it.

    Attributes:
        handler: Takes its requests.
        settings: In force for requests read from now on.
        draining: Whether connections end with the response in hand.
    """

    handler: RequestHandler
    settings: Settings
    draining: bool

    def connection_opened(self, connection: ClientConnection, sock: socket.socket) -> None:
        """Take note that a connection has been set up on an accepted socket."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Take note that a connection has ended."""

    def change_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Set a connection's state."""


class ClientConnection(SharedBufferProtocol):
    """One connection of a client; it carries one request at a time.

    Attributes:
        state: What it is doing; only the connection table sets it.
    """

    def __init__(
        self, owner: ConnectionOwner, sock: socket.socket, connected_after: float, *, shed_load: bool = False
    ) -> None:
        """Create a connection for an accepted socket.

        Args:
            owner: Has accepted it.
            sock: The socket.
            connected_after: No byte has arrived before this time, in seconds of the event loop's clock.
            shed_load: Reject the first request, whatever it is.
        """
        self.state = ConnectionState.READING
        self._owner = owner
        self._sock = sock
        self._shed_load = shed_load
        self._earliest_arrival = connected_after  # the data read next arrived after this time
        self._was_queued_with_data = False  # the data read first waited in the accept queue
        self._reader = RequestReader(self._write)
        self._transport: asyncio.Transport | None = None
        self._request: ClientRequest | None = None  # in flight
        self._write_blocked = False  # the last response is not all written yet
        self._discarded_bytes: int | None = None  # read after the last request; None: requests are read

    # -- asyncio protocol -----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._was_queued_with_data = self.has_unread_data()
        transport.set_write_buffer_limits(high=0)
        self._owner.connection_opened(self, self._sock)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Give up the request in flight."""
        self._owner.connection_closed(self)
        self._abandon_request()

    def eof_received(self) -> bool:
        """Close: a client that ends its side has gone away."""
        return False

    def data_received(self, data: bytes) -> None:
        """Read a request, or look at what is pipelined behind the one in flight."""
        if self._discarded_bytes is not None:
            self._discard(len(data))
            return
        if self._request is None and has_peer_closed(self._sock):
            # The client has left while its request waited unread.  Guards a busy proxy against work for
            # clients that gave up, which would delay others until they give up, too.
            self.abort()
            return
        self._record_arrival()
        self._reader.receive(data)
        if self._request is not None:
            self._look_ahead()
        elif not self._write_blocked:
            self._read()
        else:
            self._limit_pipelined()

    def pause_writing(self) -> None:
        """Take note that the response is not all written yet."""
        self._write_blocked = True

    def resume_writing(self) -> None:
        """Go on, as the response is written."""
        self._write_blocked = False
        if self._request is None and self._discarded_bytes is None:
            self._read_next_request()
        elif self._request is None:
            self._half_close()

    # -- Responder ------------------------------------------------------------------------------------

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response at once; the connection goes on if its framing allows."""
        self._respond(status, headers, body)

    def is_disconnected(self) -> bool:
        """Whether nobody waits for a response here, even if the close has not been read yet."""
        return self._transport is None or self._transport.is_closing() or has_peer_closed(self._sock)

    # -- State ----------------------------------------------------------------------------------------

    def has_unread_data(self) -> bool:
        """Whether the kernel holds data, an end or an error that has not been read yet."""
        return not is_receive_queue_empty(self._sock)

    def has_partial_request(self) -> bool:
        """Whether a part of a request has been read that has no response yet."""
        return self._reader.has_partial_request()

    def can_close_safely(self) -> bool:
        """Whether a close cuts no response short, unwritten or by a reset over unread data."""
        return not self._write_blocked and not self.has_unread_data()

    def is_idle(self) -> bool:
        """Whether it may be closed: no request is in flight, partly read or unread."""
        if self.state not in (ConnectionState.READING, ConnectionState.IDLE):
            return False
        return not self.has_partial_request() and not self.has_unread_data()

    def close(self) -> None:
        """Close it once all is written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_state_timeout(self) -> None:
        """End it, unless data that has just arrived is about to change its state."""
        if self.state is ConnectionState.CLOSING:
            self.abort()
        elif self._request is not None:
            self._fail_in_flight()
        elif self.is_idle():
            self.close()
        elif self.state is not ConnectionState.IDLE and not self.has_unread_data():
            self._reject(RequestTimeoutError())

    # -- Reading --------------------------------------------------------------------------------------

    def _record_arrival(self) -> None:
        """Record when the data can have arrived; for pipelined data, when the first of it can have."""
        if (self._request is not None or self._write_blocked) and self._reader.unread:
            return
        if not self._was_queued_with_data:
            self._earliest_arrival = earliest_arrival()
        self._was_queued_with_data = False

    def _waited_us(self) -> int:
        """How long the request may have waited to be read, while its client's time ran."""
        waited_s = asyncio.get_running_loop().time() - self._earliest_arrival
        return int(waited_s * 1e6) if waited_s > NEGLIGIBLE_WAIT_S else 0

    def _read(self) -> None:
        """Read up to the end of one request and handle it."""
        try:
            request = self._reader.read()
            if request is not None:
                self._handle(request)
        except BadRequestError as error:
            self._reject(error)
        except h11.RemoteProtocolError as error:
            self._reject(MalformedRequestError(str(error)))
        except Exception:  # a defect, which fails this request and no other
            log.exception("a request could not be handled")
            self._fail_unhandled()
        if self.state is ConnectionState.IDLE and self.has_partial_request():
            self._owner.change_state(self, ConnectionState.READING)

    def _fail_unhandled(self) -> None:
        if self._reader.has_head:
            self._reject(InternalError())
        else:
            self._half_close()  # it has its response, maybe not yet to the last byte

    def _look_ahead(self) -> None:
        """Examine the data pipelined behind the request in flight."""
        try:
            is_complete = self._reader.is_next_complete()
        except h11.RemoteProtocolError as error:
            log.info("connection will close after its response: %s", error)
            self._discarded_bytes = 0
            self._owner.change_state(self, ConnectionState.READING_PIPELINED)
            return
        state = ConnectionState.IN_FLIGHT if is_complete else ConnectionState.READING_PIPELINED
        self._owner.change_state(self, state)
        self._limit_pipelined()

    def _limit_pipelined(self) -> None:
        """Discard what is pipelined beyond a limit; the connection ends with the response that is due.

        It is read all the same: behind unread data, the client's close would not be noticed.
        """
        if len(self._reader.unread) > MAX_BODY_BYTES:
            self._discarded_bytes = 0

    def _discard(self, byte_count: int) -> None:
        self._discarded_bytes = (self._discarded_bytes or 0) + byte_count
        if self._discarded_bytes <= _MAX_DISCARDED_BYTES:
            return
        if self._request is not None:
            self._fail_in_flight()  # the data has no end, and a close behind it would not be noticed
        elif self._transport is not None:
            self._transport.pause_reading()

    def _read_next_request(self) -> None:
        """Turn to the data pipelined behind the request that has its response."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._request is not None or self._write_blocked:
            return
        self._become_idle()
        self._read()

    def _become_idle(self) -> None:
        """Leave the request in flight; the time limit of a partly read pipelined one runs on."""
        if self.state is not ConnectionState.READING_PIPELINED or not self.has_partial_request():
            self._owner.change_state(self, ConnectionState.IDLE)

    # -- Handling -------------------------------------------------------------------------------------

    def _handle(self, received: ReceivedRequest) -> None:
        """Answer a request here or hand it to the handler."""
        self._owner.change_state(self, ConnectionState.IN_FLIGHT)
        path = received.path
        if path == _READINESS_PATH:
            self._respond_readiness()
        elif path != API_PATH and not path.startswith(API_PATH + b"/"):
            raise PathNotFoundError
        elif self._shed_load:
            self._shed(received)
        else:
            request = parse_request(received.head, received.body, self._owner.settings, self)
            self._check_request_id(request.request_id)
            self._dispatch(request)

    def _respond_readiness(self) -> None:
        is_ready = self._owner.handler.is_ready()
        self._respond(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, [], b"")

    def _shed(self, received: ReceivedRequest) -> None:
        """Reject a request for lack of capacity, unless its id shows that it may be running."""
        self._check_request_id(received.request_id)
        limits = self._owner.settings.limits
        wait_us = limits.max_retry_after_us if limits.retry_after else 0
        self._respond(HTTPStatus.SERVICE_UNAVAILABLE, retry_after_header(wait_us), b"", close=True)

    def _dispatch(self, request: ClientRequest) -> None:
        """Hand a request to the handler, unless its budget was used up before it was read."""
        waited_us = self._waited_us()
        if waited_us and request.budget_us <= waited_us:
            self._respond(HTTPStatus.SERVICE_UNAVAILABLE, [], b"")
            return
        request.budget_us -= waited_us
        self._request = request
        self._owner.handler.handle_request(request)

    def _check_request_id(self, request_id: str) -> None:
        """Reject what may be running: forwarding it is not safe, nor is a 503, which invites a retry."""
        if self._owner.handler.is_request_id_in_use(request_id):
            raise RequestIdInUseError

    def _abandon_request(self) -> None:
        request, self._request = self._request, None
        if request is not None:
            self._owner.handler.handle_disconnect(request)

    # -- Responding -----------------------------------------------------------------------------------

    def _reject(self, error: BadRequestError) -> None:
        """Reject the request and end the connection: nothing more is expected of this client."""
        log.info("request rejected: %s", error)
        self._abandon_request()
        headers = [(b"Content-Type", b"text/plain")]
        self._respond(error.status, headers, f"{error}\n".encode(), close=True)

    def _fail_in_flight(self) -> None:
        """Fail the request in flight and end the connection of a client that breaks the protocol."""
        log.info("connection closed: no complete request behind the one in flight")
        self._abandon_request()
        self._respond(HTTPStatus.INTERNAL_SERVER_ERROR, [], b"", close=True)

    def _respond(self, status: int, headers: Headers, body: bytes, *, close: bool = False) -> None:
        self._request = None
        if self._transport is None or self._transport.is_closing():
            return
        close = close or self._must_close()
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        if close:
            headers.append((b"Connection", b"close"))
        if self._reader.is_head_request:
            body = b""
        status_line = b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b""))
        self._reader.discard_request()
        self._transport.write(encode_message(status_line, headers, body))
        if close:
            self._half_close()
        else:
            self._keep_alive()

    def _must_close(self) -> bool:
        """Whether the connection ends with the response that is due."""
        if self._discarded_bytes is not None or not self._reader.is_complete:
            return True
        return self._owner.draining and not self._reader.unread  # what was read gets a response, too

    def _keep_alive(self) -> None:
        """Go on behind a response."""
        self._reader.start_next()
        if self._write_blocked:
            self._owner.change_state(self, ConnectionState.CLOSING)
            return
        self._become_idle()
        if self._reader.unread:
            asyncio.get_running_loop().call_soon(self._read_next_request)

    def _half_close(self) -> None:
        """End this side and discard what still arrives: a close over unread data would reset the response."""
        if self._transport is None or self._transport.is_closing():
            return
        self._discarded_bytes = 0
        self._owner.change_state(self, ConnectionState.CLOSING)
        try:
            self._transport.write_eof()
        except OSError:
            self.abort()  # the client has closed, which has reset the response already

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)
