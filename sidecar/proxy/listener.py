"""The listening socket: opened, and accepted from, as system calls fail on Linux."""

from __future__ import annotations

import errno
import logging
import socket
import time

from sidecar.proxy.addresses import Address
from sidecar.proxy.sockets import has_ended

log = logging.getLogger(__name__)

BACKLOG = 512
_OPEN_RETRY_S = 0.1
_OPEN_PATIENCE_S = 10.0  # a former process and its connections have gone by then
_ACCEPT_TRIES = 8  # before faults that do not end are left alone for a while
# What passes while a former process ends or the machine lacks something for a moment.
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
# Faults of one connection in the queue, which is gone with it; accept(2) wants these retried like EAGAIN.
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
    """Listen at an address; raise OSError where that is not possible, within some seconds."""
    deadline = time.monotonic() + _OPEN_PATIENCE_S
    while True:
        try:
            listener = socket.create_server(address, backlog=BACKLOG)
        except OSError as fault:
            if fault.errno not in _TRANSIENT_OPEN_ERRORS or time.monotonic() >= deadline:
                raise
            log.warning("can't listen yet: %s", fault)
            time.sleep(_OPEN_RETRY_S)
        else:
            listener.setblocking(False)
            return listener


def accept_connection(listener: socket.socket) -> socket.socket | None:
    """Take a connection that is ready for use; None: the one in turn has ended or broken, try the next.

    Raise BlockingIOError where none waits, and OSError where none can be taken for now.
    """
    sock = _accept(listener)
    try:
        if has_ended(sock):  # it waited for longer than its client did
            sock.close()
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as fault:  # its client has reset it
        log.info("accepted connection has broken: %s", fault)
        sock.close()
        return None
    return sock


def _accept(listener: socket.socket) -> socket.socket:
    for _ in range(_ACCEPT_TRIES - 1):
        try:
            return listener.accept()[0]
        except OSError as fault:
            if fault.errno not in _CONNECTION_ACCEPT_ERRORS:
                raise
    return listener.accept()[0]
