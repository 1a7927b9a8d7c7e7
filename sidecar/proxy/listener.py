"""The listening socket: opens it, accepts connections, and handles the errors that Linux documents."""

from __future__ import annotations

import errno
import logging
import select
import socket
import time

from sidecar.proxy.addresses import Address
from sidecar.proxy.sockets import has_peer_closed

log = logging.getLogger(__name__)

BACKLOG = 512  # maximum length of the accept queue
_OPEN_RETRY_INTERVAL_S = 0.1
_OPEN_TIMEOUT_S = 10.0  # by then a previous process has ended and its connections are closed
_MAX_ACCEPT_ATTEMPTS = 8  # then the caller backs off
# Transient errors: a previous process is ending, or the machine is short of a resource.
_TRANSIENT_OPEN_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EINTR,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
# Errors of one connection, which is removed from the queue; accept(2) says to treat them like EAGAIN.
_CONNECTION_ACCEPT_ERRORS = frozenset(
    (
        errno.EINTR,
        errno.ECONNABORTED,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,  # a firewall rejects the connection
    )
)


def open_listener(address: Address) -> socket.socket:
    """Open a non-blocking listener, with retries on transient errors.

    This blocks for up to 10 s.

    Raises:
        OSError: The socket can't be opened at this address.
    """
    deadline = time.monotonic() + _OPEN_TIMEOUT_S
    while True:
        try:
            listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            if error.errno not in _TRANSIENT_OPEN_ERRORS or time.monotonic() >= deadline:
                raise
            log.warning("could not open the listener, retrying: %s", error)
            time.sleep(_OPEN_RETRY_INTERVAL_S)
        else:
            listener.setblocking(False)
            return listener


def accept_connection(listener: socket.socket) -> socket.socket | None:
    """Accept the next connection from the accept queue.

    Returns:
        The connected non-blocking socket; None if the client has already closed or reset the connection, in
        which case the queue may hold others.

    Raises:
        BlockingIOError: The queue is empty.
        OSError: No connection can be accepted at present, e.g. for lack of descriptors.
    """
    sock = _accept(listener)
    try:
        if has_peer_closed(sock):  # the client gave up while the connection was queued
            sock.close()
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:  # the client has reset the connection
        log.info("could not set up an accepted connection: %s", error)
        sock.close()
        return None
    return sock


def _accept(listener: socket.socket) -> socket.socket:
    for _ in range(_MAX_ACCEPT_ATTEMPTS - 1):
        try:
            return listener.accept()[0]
        except OSError as error:
            if error.errno not in _CONNECTION_ACCEPT_ERRORS:
                raise
    return listener.accept()[0]


def has_pending_connection(listener: socket.socket) -> bool:
    """Return whether the accept queue holds a connection, or may hold one as the poll failed."""
    poller = select.poll()
    poller.register(listener, select.POLLIN)
    try:
        return bool(poller.poll(0))
    except OSError:
        return True
