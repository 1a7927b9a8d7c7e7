"""Writes one request, and keeps track of whether its last byte has been handed to the kernel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

from sidecar.proxy.http_messages import EncodedMessage

# The kernel accepts a request of up to this size at once, as nothing else is being sent on its connection.
_MAX_ATOMIC_WRITE_BYTES = 16 * 1024
_PIECE_BYTES = 16 * 1024  # of a long request: what the kernel does not accept at once is copied


class RequestTransmission:
    """The transmission of one request.

    A server starts to process a request when it has the last byte.  The last byte of a long request is held
    back until the kernel has accepted all bytes before it, and is written only if the request is still wanted
    then.

    Attributes:
        is_complete: Whether the last byte has been handed to the kernel.
    """

    def __init__(self, transport: asyncio.Transport, is_wanted: Callable[[], bool]) -> None:
        """Prepare a transmission; nothing is written yet.

        Args:
            transport: Transport of the connection, which must call `on_buffer_empty` when its write buffer is
                empty.
            is_wanted: Returns whether a long request may be written to its end.
        """
        self.is_complete = False
        self._transport = transport
        self._is_wanted = is_wanted
        self._pieces: Iterator[bytes | memoryview] = iter(())
        self._last_byte = b""

    def start(self, request: EncodedMessage) -> None:
        """Write the request, or as much of a long one as the kernel accepts, without its last byte."""
        if request.byte_count <= _MAX_ATOMIC_WRITE_BYTES:
            transport = self._transport
            transport.write(request.head + request.body if request.body else request.head)
            self.is_complete = not transport.is_closing() and not transport.get_write_buffer_size()
            return
        *parts, last = (part for part in (request.head, request.body) if part)
        self._last_byte = last[-1:]
        self._pieces = _pieces_of([*parts, memoryview(last)[:-1]])
        self.on_buffer_empty()

    def on_buffer_empty(self) -> None:
        """Write on until the kernel does not accept any more, or the request is complete.

        A failed write closes the transport and empties its buffer, although the data was not sent.
        """
        while not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            piece = next(self._pieces, None) or self._take_last_byte()
            if not piece:
                return
            self._transport.write(piece)

    def stop(self) -> None:
        """Write nothing more, and keep nothing of the request."""
        self._pieces = iter(())

    def _take_last_byte(self) -> bytes:
        """Return the byte that is held back, if it is to be written: all others have been accepted."""
        last_byte, self._last_byte = self._last_byte, b""
        if not last_byte:
            self.is_complete = True
        elif not self._is_wanted():
            return b""
        return last_byte


def _pieces_of(parts: list[bytes | memoryview]) -> Iterator[memoryview]:
    for part in parts:
        view = memoryview(part)
        for start in range(0, len(view), _PIECE_BYTES):
            yield view[start : start + _PIECE_BYTES]


def transmission_bytes(request_bytes: int) -> int:
    """Return how much a request may need beside its data while two attempts write it at the same time."""
    return 2 * _PIECE_BYTES if request_bytes > _MAX_ATOMIC_WRITE_BYTES else 0
