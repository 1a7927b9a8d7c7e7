"""Writes one request, and keeps track of whether its last byte has been handed to the kernel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# The kernel accepts a request of up to this size at once, as nothing else is being sent on its connection.
_MAX_ATOMIC_WRITE_BYTES = 16 * 1024


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
        self._last_byte = b""

    def start(self, request: bytes) -> None:
        """Write the request, or all but the last byte of a long one."""
        if len(request) > _MAX_ATOMIC_WRITE_BYTES:
            request, self._last_byte = request[:-1], request[-1:]
        self._write(request)

    def on_buffer_empty(self) -> None:
        """Write the byte that is held back, if any: the kernel has accepted all bytes before it."""
        last_byte, self._last_byte = self._last_byte, b""
        if not last_byte:
            self.is_complete = True
        elif self._is_wanted():
            self._write(last_byte)

    def _write(self, data: bytes) -> None:
        self._transport.write(data)
        # A failed write closes the transport and empties its buffer, although the data was not sent.
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self.on_buffer_empty()
