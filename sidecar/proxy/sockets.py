"""TCP sockets: creates them, queries their state, and reads them into a shared buffer to save memory."""

from __future__ import annotations

import asyncio
import select
import socket

from sidecar.proxy.addresses import Address

_READ_BUFFER_BYTES = 64 * 1024

# Shared by all connections: the data of each read is copied out before the next read.
_READ_BUFFER = memoryview(bytearray(_READ_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Base class of protocols that read into one shared buffer.

    By default, asyncio allocates 256 KiB for each read, which fragments the heap.
    """

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the shared buffer; called by the transport before each read."""
        return _READ_BUFFER

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
