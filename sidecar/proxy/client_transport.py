"""The transport side of a client's connection: its socket, what is unread, and what is unwritten."""

from __future__ import annotations

import asyncio
import socket

from sidecar.proxy.paced_reading import PacedReading
from sidecar.proxy.pause_reason import PauseReason
from sidecar.proxy.sockets import SharedBufferProtocol, has_peer_closed, is_receive_queue_empty


class ClientTransport(SharedBufferProtocol):
    """Base class of a client's connection, which knows the state of its socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Create the protocol of an accepted socket, before it has a transport."""
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._pacing: PacedReading | None = None
        self._pause_reasons: set[PauseReason] = set()
        self._write_blocked = False  # the last response has not been fully written

    def pause_writing(self) -> None:
        """Record that the response has not been fully written; called by the transport."""
        self._write_blocked = True

    def is_closing(self) -> bool:
        """Return whether there is no transport, or it is being closed."""
        return self._transport is None or self._transport.is_closing()

    def is_disconnected(self) -> bool:
        """Return whether the connection is closed, even if a close by the client has not been read yet."""
        return self.is_closing() or has_peer_closed(self._sock)

    def has_unread_data(self) -> bool:
        """Return whether the kernel holds data, an end of stream or an error that has not been read yet."""
        return not is_receive_queue_empty(self._sock)

    @property
    def unwritten_bytes(self) -> int:
        """How much of the last response has not been written."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def can_close_safely(self) -> bool:
        """Return whether a close would not truncate a response.

        A response is truncated if it has not been fully written, or if a close with unread data resets the
        connection.
        """
        return not self._write_blocked and not self.has_unread_data()

    def is_written(self) -> bool:
        """Return whether the last response has been fully written."""
        return not self._write_blocked

    def is_parsing_deferred(self) -> bool:
        """Return whether a request has been read, perhaps completely, that waits to be parsed."""
        return self._pacing is not None and self._pacing.is_paused

    def is_reading_paused(self) -> bool:
        """Return whether the connection is not read for now, so that it may have unread data."""
        return bool(self._pause_reasons) or self.is_parsing_deferred()

    def pause_reading(self, reason: PauseReason) -> None:
        """Stop reading; what arrives stays in the kernel."""
        if self._transport is not None:
            self._pause_reasons.add(reason)
            self._transport.pause_reading()

    def resume_reading(self, reason: PauseReason) -> None:
        """Read on, unless there is another reason not to."""
        if reason not in self._pause_reasons:
            return
        self._pause_reasons.discard(reason)
        if self._transport is not None and not self.is_reading_paused():
            self.on_reading_resumed()
            self._transport.resume_reading()

    def _pause_again(self) -> None:
        """Stay paused after received data has been parsed, if there is another reason not to read on."""
        if self._transport is not None and self.is_reading_paused():
            self._transport.pause_reading()

    def on_reading_resumed(self) -> None:
        """Handle that reading goes on after a pause; what is read next may have waited."""

    def close(self) -> None:
        """Close the connection once all data has been written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately; data that has not been written is lost."""
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)
