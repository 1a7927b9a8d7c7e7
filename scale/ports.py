"""Reserves loopback ports for programs that take their port from their configuration."""

from __future__ import annotations

import socket
from types import TracebackType
from typing import Self

from scale.http_client import Address


class ReservedAddress:
    """A loopback address with a port chosen by the kernel, reserved until the `with` block is left.

    A socket stays bound to the port without listening.  The kernel then assigns the port to no other process,
    not even for outgoing connections, but a program that binds with SO_REUSEADDR, as servers do, can listen
    on it.  Until one does, connections are refused.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.address: Address = self._socket.getsockname()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Release the port."""
        self._socket.close()
