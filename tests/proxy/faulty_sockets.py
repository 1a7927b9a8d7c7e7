"""Sockets for connections to servers, whose system calls fail as scripted."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Iterator
from typing import Any

import pytest

Failures = Iterator[int | None]  # the errno that each call fails with, in order; None: the call succeeds


def errno_name(code: object) -> str:
    return errno.errorcode[code] if isinstance(code, int) else str(code)


def fail_times(code: int, times: int) -> Failures:
    """Let the first calls fail, and all later ones succeed."""
    for _ in range(times):
        yield code
    while True:
        yield None


def raise_next_failure(failures: Failures) -> None:
    """Raise the error of the next call, if it is to fail."""
    code = next(failures)
    if code is not None:
        raise OSError(code, os.strerror(code))


class FaultySocket(socket.socket):
    """A socket whose system calls fail as scripted."""

    connect_failures: Failures = fail_times(0, 0)
    setsockopt_failures: Failures = fail_times(0, 0)
    send_failures: Failures = fail_times(0, 0)
    read_failures: Failures = fail_times(0, 0)
    close_failures: Failures = fail_times(0, 0)
    shutdown_failures: Failures = fail_times(0, 0)
    max_send_bytes = max_read_bytes = 1 << 30  # limits of a single call

    def connect(self, address: Any) -> None:
        raise_next_failure(self.connect_failures)
        super().connect(address)

    def setsockopt(self, *arguments: Any) -> None:
        raise_next_failure(self.setsockopt_failures)
        super().setsockopt(*arguments)

    def send(self, data: Any, *flags: int) -> int:
        raise_next_failure(self.send_failures)
        return super().send(memoryview(data)[: self.max_send_bytes], *flags)

    def recv_into(self, buffer: Any, *arguments: int) -> int:
        raise_next_failure(self.read_failures)
        return super().recv_into(memoryview(buffer)[: self.max_read_bytes], *arguments)

    def shutdown(self, how: int) -> None:
        raise_next_failure(self.shutdown_failures)
        super().shutdown(how)

    def close(self) -> None:
        is_open = self.fileno() >= 0
        super().close()
        if is_open:
            raise_next_failure(self.close_failures)


def use_faulty_sockets(
    monkeypatch: pytest.MonkeyPatch, socket_failures: Failures | None = None, **attributes: Failures | int
) -> None:
    """Make dials use sockets whose system calls fail as scripted; all sockets share the scripts.

    Args:
        monkeypatch: Restores the real sockets after the test.
        socket_failures: The failures of the creation of sockets.
        attributes: The attributes of `FaultySocket` to set.
    """
    socket_type = type("Faulty", (FaultySocket,), attributes)

    def new_socket(_: object) -> socket.socket:
        if socket_failures is not None:
            raise_next_failure(socket_failures)
        sock: socket.socket = socket_type(socket.AF_INET, socket.SOCK_STREAM)
        return sock

    monkeypatch.setattr("sidecar.proxy.sockets.new_socket", new_socket)
