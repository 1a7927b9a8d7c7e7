"""Dialing: connects sockets, and distinguishes failures of this machine from failures of the server.

A failure of this machine (no descriptor, no port, no memory, no route) is transient and says nothing about
the server: the dial is retried with backoff, and does not count as a failure of the server.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Iterator

from sidecar.proxy.addresses import Address

INITIAL_BACKOFF_S = 0.01
BACKOFF_MULTIPLIER = 2.0
MAX_BACKOFF_S = 0.16  # bounds the delay until the end of a shortage is noticed

# ECONNREFUSED, ECONNRESET, ETIMEDOUT and EHOSTUNREACH (no host answers for the address on the last link) are
# failures of the server.  ENETUNREACH is not: this machine or a router on the path has no route.  This is
# usual for a moment while routes change, and affects all servers behind the route at once.
LOCAL_ERRNOS = frozenset(
    (
        errno.EACCES,  # a local firewall
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,  # no local port is free
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,  # epoll can't watch any more descriptors
        errno.EPERM,  # a local firewall, or its connection table is full
    )
)


class LocalDialError(OSError):
    """A dial failed for a cause on this machine; a retry may succeed a moment later."""

    @classmethod
    def from_error(cls, error: OSError) -> LocalDialError:
        """Create an error with the number and the message of another one."""
        return cls(error.errno, error.strerror)


def retry_backoff() -> Iterator[float]:
    """Yield the seconds to wait before each retry of a dial, endlessly."""
    backoff_s = INITIAL_BACKOFF_S
    while True:
        yield backoff_s
        backoff_s = min(BACKOFF_MULTIPLIER * backoff_s, MAX_BACKOFF_S)


def open_socket(factory: Callable[[], socket.socket]) -> socket.socket:
    """Create a socket that is ready for a non-blocking connect.

    Args:
        factory: Creates the socket.

    Raises:
        LocalDialError: Creating or configuring it failed.
    """
    try:
        sock = factory()
    except OSError as error:
        raise LocalDialError.from_error(error) from error
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        close_quietly(sock)
        raise LocalDialError.from_error(error) from error
    return sock


async def connect_socket(sock: socket.socket, address: Address) -> None:
    """Connect a socket.

    Args:
        sock: A non-blocking socket.
        address: Where to connect to.

    Raises:
        LocalDialError: It failed for a cause on this machine.
        OSError: It failed for any other cause.
    """
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
        _check_connected(sock)
    except OSError as error:
        if error.errno in LOCAL_ERRNOS:
            raise LocalDialError.from_error(error) from error
        raise


def _check_connected(sock: socket.socket) -> None:
    """Raise the pending error of a socket that is not connected.

    After connect() has failed with EAGAIN, the event loop waits until the socket is writable.  A socket that
    was never connected is writable at once.
    """
    try:
        sock.getpeername()
    except OSError:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.EAGAIN
        raise OSError(code, "not connected") from None


def close_quietly(sock: socket.socket) -> None:
    """Close a socket; its descriptor is free afterwards even if the kernel reports an error."""
    with contextlib.suppress(OSError):
        sock.close()
