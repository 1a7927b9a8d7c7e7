"""The listening socket: opening it and accepting connections, with the errors that Linux documents."""

from __future__ import annotations

import errno
import logging
import select
import socket
import time

from sidecar.proxy.addresses import Address
from sidecar.proxy.sockets import has_peer_closed

log = logging.getLogger(__name__)

BACKLOG = 512
_OPEN_RETRY_INTERVAL_S = 0.1
_OPEN_TIMEOUT_S = 10.0  # a previous process has ended and its connections are closed by then
_MAX_ACCEPT_ATTEMPTS = 8  # then the caller backs off
# Errors that pass: a former process is ending, or the machine lacks a resource for a moment.
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
# Errors of one connection, which leaves the queue with it; accept(2) says to retry on these as on EAGAIN.
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
        errno.EPERM,  # a firewall forbids it
    )
)


def open_listener(address: Address) -> socket.socket:
    """Open a non-blocking listener, with retries on errors that pass.

    Blocks for up to 10 s.

    Raises:
        OSError: The address can't be listened on.
    """
    deadline = time.monotonic() + _OPEN_TIMEOUT_S
    while True:
        try:
            listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as error:
            if error.errno not in _TRANSIENT_OPEN_ERRORS or time.monotonic() >= deadline:
                raise
            log.warning("can't listen yet: %s", error)
            time.sleep(_OPEN_RETRY_INTERVAL_S)
        else:
            listener.setblocking(False)
            return listener


def accept_connection(listener: socket.socket) -> socket.socket | None:
    """Accept the next connection from the kernel's queue.

    Returns:
        The connected socket, non-blocking; None if its client has closed or reset it already: there may be
        others behind it.

    Raises:
        BlockingIOError: The queue is empty.
        OSError: No connection can be accepted for now, e.g. for lack of descriptors.
    """
    sock = _accept(listener)
    try:
        if has_peer_closed(sock):  # its client gave up while it was in the queue
            sock.close()
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:  # its client has reset it
        log.info("accepted connection has broken: %s", error)
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
    """Whether a connection is in the kernel's queue, or may be where memory lacks for a look."""
    poller = select.poll()
    poller.register(listener, select.POLLIN)
    try:
        return bool(poller.poll(0))
    except OSError:
        return True
