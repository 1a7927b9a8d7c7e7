"""Accepting connections, as system calls fail on Linux."""

from __future__ import annotations

import errno
import logging
import socket

from topazbank.net.upstream import has_ended

log = logging.getLogger(__name__)

_ACCEPT_TRIES = 8  # before faults that do not end are left alone for a while
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
