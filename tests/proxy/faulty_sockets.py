"""Sockets whose system calls fail as a script says, for connections to servers."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Iterator
from typing import Any

import pytest

Failures = Iterator[int | None]  # what a system call fails with, call by call; None: it works


def errno_name(code: object) -> str:
    return errno.errorcode[code] if isinstance(code, int) else str(code)


def fail_times(code: int, times: int) -> Failures:
    for _ in range(times):
        yield code
    while True:
        yield None


def raise_next_failure(failures: Failures) -> None:
    code = next(failures)
    if code is not None:
        raise OSError(code, os.strerror(code))


class FaultySocket(socket.socket):
    """A socket whose system calls fail as a script says."""

    connect_failures: Failures = fail_times(0, 0)
    setsockopt_failures: Failures = fail_times(0, 0)
    send_failures: Failures = fail_times(0, 0)
    read_failures: Failures = fail_times(0, 0)
    close_failures: Failures = fail_times(0, 0)
    shutdown_failures: Failures = fail_times(0, 0)
    max_send_bytes = max_read_bytes = 1 << 30  # bytes that one call takes or gives

    def connect(self, address: Any) -> None:
        raise_next_failure(self.connect_failures)
        super().connect(address)

    def setsockopt(self, *given: Any) -> None:
        raise_next_failure(self.setsockopt_failures)
        super().setsockopt(*given)

    def send(self, data: Any, *flags: int) -> int:
        raise_next_failure(self.send_failures)
        return super().send(memoryview(data)[: self.max_send_bytes], *flags)

    def recv_into(self, buffer: Any, *given: int) -> int:
        raise_next_failure(self.read_failures)
        return super().recv_into(memoryview(buffer)[: self.max_read_bytes], *given)

    def shutdown(self, how: int) -> None:
        raise_next_failure(self.shutdown_failures)
        super().shutdown(how)

    def close(self) -> None:
        is_open = self.fileno() >= 0
        super().close()
        if is_open:
            raise_next_failure(self.close_failures)


def use_faulty_sockets(
    monkeypatch: pytest.MonkeyPatch, socket_failures: Failures | None = None, **calls: Failures | int
) -> None:
    """Let dials use sockets whose calls fail so, all together by one script for each call."""
    faulty = type("Faulty", (FaultySocket,), calls)

    def new_socket(_: object) -> socket.socket:
        if socket_failures is not None:
            raise_next_failure(socket_failures)
        made: socket.socket = faulty(socket.AF_INET, socket.SOCK_STREAM)
        return made

    monkeypatch.setattr("sidecar.proxy.sockets.new_socket", new_socket)
