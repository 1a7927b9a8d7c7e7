"""Sockets whose system calls fail as a script says, for connections to servers."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Iterator
from typing import Any

import pytest

Failures = Iterator[int | None]  # what a system call fails with, call by call; None: it works


def named(code: object) -> str:
    return errno.errorcode[code] if isinstance(code, int) else str(code)


def failing(code: int, times: int) -> Failures:
    for _ in range(times):
        yield code
    while True:
        yield None


def fail(failures: Failures) -> None:
    code = next(failures)
    if code is not None:
        raise OSError(code, os.strerror(code))


class FaultySocket(socket.socket):
    """A socket whose system calls fail as a script says."""

    connects: Failures = failing(0, 0)
    options: Failures = failing(0, 0)
    sends: Failures = failing(0, 0)
    reads: Failures = failing(0, 0)
    closes: Failures = failing(0, 0)
    shutdowns: Failures = failing(0, 0)
    send_most = read_most = 1 << 30  # bytes that one call takes or gives

    def connect(self, address: Any) -> None:
        fail(self.connects)
        super().connect(address)

    def setsockopt(self, *given: Any) -> None:
        fail(self.options)
        super().setsockopt(*given)

    def send(self, data: Any, *flags: int) -> int:
        fail(self.sends)
        return super().send(memoryview(data)[: self.send_most], *flags)

    def recv_into(self, buffer: Any, *given: int) -> int:
        fail(self.reads)
        return super().recv_into(memoryview(buffer)[: self.read_most], *given)

    def shutdown(self, how: int) -> None:
        fail(self.shutdowns)
        super().shutdown(how)

    def close(self) -> None:
        is_open = self.fileno() >= 0
        super().close()
        if is_open:
            fail(self.closes)


def use_faulty(
    monkeypatch: pytest.MonkeyPatch, sockets: Failures | None = None, **calls: Failures | int
) -> None:
    """Let dials use sockets whose calls fail so, all together by one script for each call."""
    faulty = type("Faulty", (FaultySocket,), calls)

    def new_socket(_: object) -> socket.socket:
        if sockets is not None:
            fail(sockets)
        made: socket.socket = faulty(socket.AF_INET, socket.SOCK_STREAM)
        return made

    monkeypatch.setattr("sidecar.proxy.sockets.new_socket", new_socket)
