"""Dialing: connects a socket, and tells failures of this machine from those of the server.

A failure of this machine (no descriptor, no port, no memory, no route) passes and says nothing of the server:
the dial is tried again after a pause, and the server must not be blamed for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Iterator

FIRST_PAUSE_S = 0.01  # after the first local failure of a dial
PAUSE_GROWTH = 2.0  # each further pause is so many times as long
LONGEST_PAUSE_S = 0.16  # a lack that has passed is noticed within this

# ECONNREFUSED, ECONNRESET, ETIMEDOUT and EHOSTUNREACH (nobody answers at the address on the last link) tell
# of the server.  ENETUNREACH does not: this machine, or a router on the way, has no route, which is so for a
# moment while routes change, and for all servers behind that route at once.
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
        errno.ENOSPC,  # no room to watch one more descriptor
        errno.EPERM,  # a local firewall, or its full table of connections
    )
)


class LocalDialError(OSError):
    """A dial failed for a cause on this machine; another may succeed a moment later."""


def retry_pauses() -> Iterator[float]:
    """Give the pauses before the retries of one dial, without end."""
    pause_s = FIRST_PAUSE_S
    while True:
        yield pause_s
        pause_s = min(PAUSE_GROWTH * pause_s, LONGEST_PAUSE_S)


def open_socket(factory: Callable[[], socket.socket]) -> socket.socket:
    """Make a socket ready to be connected without blocking; raise LocalDialError on any failure."""
    try:
        sock = factory()
    except OSError as fault:
        raise _local(fault) from fault
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as fault:
        close_quietly(sock)
        raise _local(fault) from fault
    return sock


async def connect_socket(sock: socket.socket, address: tuple[str, int]) -> None:
    """Connect a socket; raise LocalDialError where this machine fails, and any other OSError as it is."""
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
        _check_connected(sock)
    except OSError as fault:
        if fault.errno in LOCAL_ERRNOS:
            raise _local(fault) from fault
        raise


def _check_connected(sock: socket.socket) -> None:
    """Raise the error of a socket that is not connected.

    After connect() has failed with EAGAIN the event loop waits for the socket to become writable, as one that
    was never connected is at once.
    """
    try:
        sock.getpeername()
    except OSError:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.EAGAIN
        raise OSError(code, "not connected") from None


def _local(fault: OSError) -> LocalDialError:
    return LocalDialError(fault.errno, fault.strerror)


def close_quietly(sock: socket.socket) -> None:
    """Close a socket; the descriptor is free afterwards even where the kernel reports an error."""
    with contextlib.suppress(OSError):
        sock.close()
