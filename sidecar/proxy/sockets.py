"""TCP sockets: creating them, asking the kernel about their state, and reading with little memory."""

from __future__ import annotations

import asyncio
import select
import socket

from sidecar.proxy.addresses import Address

_READ_BUFFER_BYTES = 64 * 1024

# Shared by all connections: each read is copied out of it before the next one.
_READ_BUFFER = memoryview(bytearray(_READ_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Base of protocols that read through one shared buffer.

    By default each read of asyncio allocates 256 KiB anew, which fragments the heap.
    """

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the shared buffer; called by the transport before each read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what the transport has read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle the bytes of one read; subclasses must override this."""
        raise NotImplementedError


def new_socket(address: Address) -> socket.socket:
    """Create a TCP socket of the family that an address needs.

    Raises:
        OSError: The system has no descriptor or no memory for it.
    """
    host, _ = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.socket(family, socket.SOCK_STREAM)


def is_receive_queue_empty(sock: socket.socket) -> bool:
    """Return whether a connection has nothing unread: no byte, no end of the stream and no error."""
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
    """Return whether the peer has closed a connection, even if data that it sent before is unread."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
