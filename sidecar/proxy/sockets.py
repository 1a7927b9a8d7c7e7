"""TCP sockets: creates them, queries their state, and reads them into a shared buffer to save memory."""

from __future__ import annotations

import asyncio
import select
import socket

from sidecar.proxy.addresses import Address

READ_BUFFER_BYTES = 64 * 1024  # the most that is read at once
_MIN_READ_BYTES = 256  # asyncio reads at least something whenever it reads

# Shared by all connections: the data of each read is copied out before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Base class of protocols that read into one shared buffer.

    By default, asyncio allocates 256 KiB for each read, which fragments the heap.
    """

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the shared buffer, as far as it may be filled; called by the transport before each read."""
        byte_count = self.readable_bytes()
        return (
            _READ_BUFFER
            if byte_count >= READ_BUFFER_BYTES
            else _READ_BUFFER[: max(byte_count, _MIN_READ_BYTES)]
        )

    def readable_bytes(self) -> int:
        """Return how many bytes may be read at once; subclasses may limit it."""
        return READ_BUFFER_BYTES

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the data that the transport has read to `data_received`."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle the data of one read; subclasses must override this."""
        raise NotImplementedError


def new_socket(address: Address) -> socket.socket:
    """Create a TCP socket of the address family of an address.

    Raises:
        OSError: The system lacks a descriptor or memory.
    """
    host, _ = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM)


def is_receive_queue_empty(sock: socket.socket) -> bool:
    """Return whether a connection has nothing to read: no data, no end of stream and no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def peek_unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes a connection has to read, up to 64 KiB; 0 if there is none, or an error."""
    try:
        return sock.recv_into(_READ_BUFFER, READ_BUFFER_BYTES, socket.MSG_PEEK)
    except OSError:
        return 0


def is_connected(sock: socket.socket) -> bool:
    """Return whether a connection attempt on a socket has succeeded."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side of a connection, even if earlier data is unread."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
