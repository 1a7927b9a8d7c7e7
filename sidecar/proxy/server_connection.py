"""One connection to a server: requests written and answers read, one at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from functools import partial

import h11

from sidecar.proxy import sockets
from sidecar.proxy.addresses import Address
from sidecar.proxy.dialing import LOCAL_ERRNOS, close_quietly, connect_socket, open_socket
from sidecar.proxy.http_messages import Response
from sidecar.proxy.sockets import Reader, is_quiet

log = logging.getLogger(__name__)

_MAX_ATOMIC_WRITE_BYTES = (
    16 * 1024
)  # shorter requests the kernel takes whole, as nothing else is on its way on a connection
_MAX_INFORMATIONAL = 8  # 1xx answers ahead of the one that counts
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
_BODILESS_STATUSES = (204, 304)  # statuses whose answers hold no body, whatever their head says
_PARSER_REQUEST = (h11.Request(method="GET", target="/", headers=[("Host", "-")]), h11.EndOfMessage())


def _new_parser() -> h11.Connection:
    """What reads one answer; it need not know the request, as none here is a HEAD or a CONNECT."""
    reader = h11.Connection(h11.CLIENT)
    for event in _PARSER_REQUEST:
        reader.send(event)
    return reader


class Connection(Reader):
    """One connection to a server; it carries one request at a time."""

    def __init__(
        self, sock: socket.socket, max_body_bytes: int, response_timeout_s: float | None = None
    ) -> None:
        self.sock = sock
        self.reusable = True
        self.protocol_error = False  # whether it has answered with what is no answer, or with more than one
        self.local_failure = False  # whether it broke for a cause on this machine
        self._max_body_bytes = max_body_bytes
        self._response_timeout_s = (
            response_timeout_s  # what an answer that has begun may take; None: bounded elsewhere
        )
        self._response_timer: asyncio.TimerHandle | None = None
        self._informational_count = 0  # 1xx answers to the request that is out
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._ended: Callable[[Response | None], None] | None = None
        self._written = False
        self._last_byte = b""  # the last byte of a long request, held back until all before it has gone
        self._is_wanted: Callable[[], bool] = lambda: True
        self._head: h11.Response | None = None
        self._body = bytearray()
        self.on_lost: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that an emptied buffer is told of

    @property
    def request_written(self) -> bool:
        """Whether the request's last byte has gone to the kernel."""
        return self._written

    def is_idle(self) -> bool:
        """Whether it may carry another request: guards against EOF or bytes that nobody has read yet."""
        open_ = self._transport is not None and not self._transport.is_closing()
        return open_ and self.reusable and self._ended is None and is_quiet(self.sock)

    def request(
        self,
        data: bytes,
        ended: Callable[[Response | None], None],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        """Write a request; `ended` is called once, with the whole answer or with None if it broke.

        The last byte of a long one goes only if it `is_wanted` then: with it a server begins.
        """
        self._ended, self._written, self._informational_count = ended, False, 0
        self._h11 = _new_parser()
        self._last_byte, self._is_wanted = data[:0], is_wanted
        if len(data) > _MAX_ATOMIC_WRITE_BYTES:
            data, self._last_byte = data[:-1], data[-1:]
        self._write(data)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        # A failed write closes the transport and empties its buffer, with nothing of it sent.
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self.resume_writing()

    def resume_writing(self) -> None:
        """All so far has gone to the kernel."""
        last, self._last_byte = self._last_byte, b""
        if not last:
            self._written = self._ended is not None
        elif self._ended is not None and self._is_wanted():
            self._write(last)

    def data_received(self, data: bytes) -> None:
        if self._ended is None:
            self.abort()  # stray bytes: what they answer is anyone's guess
            return
        self._feed(data)

        if self._response_timer is None and self._response_timeout_s is not None and self._has_begun():
            self._response_timer = asyncio.get_running_loop().call_later(
                self._response_timeout_s, self._reject_response, "it stalled"
            )

    def eof_received(self) -> bool:
        self.reusable = False
        if self._ended is not None:
            self._feed(b"")
        return False

    def _has_begun(self) -> bool:
        """Whether a part of the answer is here, and not all of it."""
        return self._ended is not None and (self._head is not None or bool(self._h11.trailing_data[0]))

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while self._next_event():
                pass
        except h11.RemoteProtocolError as broken:
            if data:
                self._reject_response(str(broken))
            else:
                self._finish(None)  # cut short by the end of the connection

    def _reject_response(self, why: str) -> None:
        """Give up on an answer that is none: the request ran, and the connection is of no further use."""
        log.debug("malformed response: %s", why)
        self.protocol_error = True
        self._finish(None)

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if isinstance(event, h11.InformationalResponse):
            self._informational_count += 1
            if self._informational_count > _MAX_INFORMATIONAL:
                self._reject_response("no end of 1xx answers")
                return False
        elif isinstance(event, h11.Response):
            self._head = event
            length = next((v for n, v in event.headers if n == b"content-length"), b"0")
            if int(length) > self._max_body_bytes:
                self._reject_response("too long by its own account")
                return False
            return not self._finish_with_body()
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._max_body_bytes:
                self._reject_response("too long")
                return False
        elif isinstance(event, h11.EndOfMessage):
            done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
            self.protocol_error = bool(self._h11.trailing_data[0])
            self._finish(self._response(), done and not self.protocol_error)
            return False
        return not isinstance(event, h11.ConnectionClosed | type(h11.NEED_DATA))

    def _finish_with_body(self) -> bool:
        """Finish at once with a body that came with its head, as most do: that spares h11 two events."""
        assert self._head is not None
        framing = {name: value for name, value in self._head.headers if name in _FRAMING_HEADERS}
        rest = self._h11.trailing_data[0]
        if list(framing) != [b"content-length"] or int(framing[b"content-length"]) != len(rest):
            return False
        if self._head.status_code in _BODILESS_STATUSES:
            return False
        self._body += rest
        self._finish(self._response(), self._h11.our_state is h11.DONE)
        return True

    def _response(self) -> Response | None:
        """The answer, whole: its length is reached or, where it announces none, its connection has ended.

        Only an orderly end gets here for that; a reset is a loss of the connection.
        """
        head = self._head
        return None if head is None else Response(head.status_code, list(head.headers), bytes(self._body))

    def _finish(self, response: Response | None, reusable: bool = False) -> None:
        ended, self._ended = self._ended, None
        self._head, self._body = None, bytearray()
        self._cancel_response_timer()
        if response is None or not reusable or not self._written:
            self.abort()
        if ended is not None:
            ended(response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self.local_failure = isinstance(exc, OSError) and exc.errno in LOCAL_ERRNOS
        self._cancel_response_timer()
        ended, self._ended = self._ended, None
        if ended is not None:
            ended(None)
        self.on_lost()

    def _cancel_response_timer(self) -> None:
        if self._response_timer is not None:
            self._response_timer.cancel()
            self._response_timer = None

    def shutdown_and_abort(self) -> None:
        """Close, and end the sending before this returns: the transport closes in the loop's next turn only.

        Guards the rule that one copy is out at a time: another may be written before that turn.
        """
        with contextlib.suppress(OSError):  # it has broken already
            self.sock.shutdown(socket.SHUT_WR)
        self.abort()

    def abort(self) -> None:
        """Close at once; what is not written yet never will be."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: Address,
    max_body_bytes: int,
    response_timeout_s: float | None = None,
    sock: socket.socket | None = None,
) -> Connection:
    """Dial; raise OSError where no connection comes up, LocalDialError where this machine is the cause."""
    loop = asyncio.get_running_loop()
    sock = sock or open_socket(partial(sockets.new_socket, address))
    try:
        await connect_socket(sock, address)
        _, connection = await loop.create_connection(
            partial(Connection, sock, max_body_bytes, response_timeout_s), sock=sock
        )
    except BaseException:
        close_quietly(sock)
        raise
    return connection
