"""System calls on the listener and on accepted sockets fail with the errors that Linux documents."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable
from typing import Any

import pytest
from proxy_harness import ProxyHarness, respond_ok, run_scenario, running_proxy, wait_until

from sidecar.proxy import listener

CONNECTION_ERRORS = [
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
]
RESOURCE_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


class FailingListener:
    """A listener whose first accepts fail."""

    def __init__(self, real: socket.socket, code: int, failures: int) -> None:
        self._real, self._code, self.failures = real, code, failures
        self.accepts = 0

    def accept(self) -> Any:
        self.accepts += 1
        if self.failures:
            self.failures -= 1
            raise OSError(self._code, os.strerror(self._code))
        return self._real.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


def errno_name(code: object) -> str:
    return errno.errorcode[code] if isinstance(code, int) else str(code)


def fail_accepts(proxy: ProxyHarness, code: int, failures: int) -> FailingListener:
    """Make the next accepts of a sidecar fail."""
    frontend = proxy.sidecar.frontend
    # The double implements the part of a socket that the frontend uses.
    frontend._sock = failing = FailingListener(frontend._sock, code, failures)  # type: ignore[assignment]
    return failing


def record_loop_faults() -> list[dict[str, Any]]:
    """Return a list that collects the exceptions which reach the event loop from now on."""
    faults: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
    return faults


def count_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("code", CONNECTION_ERRORS, ids=errno_name)
def test_fault_of_one_queued_connection_does_not_delay_the_next(
    monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            faults = record_loop_faults()
            pauses: list[None] = []
            monkeypatch.setattr(proxy.sidecar.frontend, "_pause_accepting", lambda: pauses.append(None))
            await wait_until(lambda: proxy.sidecar.frontend._accepting)
            fail_accepts(proxy, code, 3)
            assert (await proxy.send_request())[0] == 200
            assert not faults
            assert not pauses

    run_scenario(scenario())


@pytest.mark.parametrize("code", [*CONNECTION_ERRORS, *RESOURCE_ERRORS], ids=errno_name)
def test_failing_accepts_back_off_without_stopping_the_listener(code: int) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            faults = record_loop_faults()
            sock = fail_accepts(proxy, code, 40)
            began = asyncio.get_running_loop().time()
            assert (await proxy.send_request())[0] == 200
            elapsed = asyncio.get_running_loop().time() - began
            assert not faults
            backoffs = 40 / listener._MAX_ACCEPT_ATTEMPTS
            assert elapsed >= backoffs * 0.05 * 0.9  # no accepts during a back-off
            assert sock.accepts < 50

    run_scenario(scenario())


def fail_method(method: str) -> Callable[[pytest.MonkeyPatch, ProxyHarness], None]:
    """Return a function that makes a method of the next accepted socket fail, as after a reset."""

    class FailingSocket(socket.socket):
        pass

    def fail(*_: object) -> None:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))

    setattr(FailingSocket, method, fail)

    def inject(monkeypatch: pytest.MonkeyPatch, proxy: ProxyHarness) -> None:
        real = proxy.sidecar.frontend._sock

        class ListenerOfFailingSocket(FailingListener):
            def accept(self) -> Any:
                sock, address = real.accept()
                proxy.sidecar.frontend._sock = real
                return FailingSocket(fileno=sock.detach()), address

        # The double implements the part of a socket that the frontend uses.
        proxy.sidecar.frontend._sock = ListenerOfFailingSocket(real, 0, 0)  # type: ignore[assignment]

    return inject


def fail_transport(monkeypatch: pytest.MonkeyPatch, proxy: ProxyHarness) -> None:
    """Make the next accepted socket fail while its transport is set up."""
    loop = asyncio.get_running_loop()
    connect = loop.connect_accepted_socket

    async def fail(*_: object) -> None:
        monkeypatch.setattr(loop, "connect_accepted_socket", connect)
        raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

    monkeypatch.setattr(loop, "connect_accepted_socket", fail)


SOCKET_FAULTS = {
    "setsockopt": fail_method("setsockopt"),
    "setblocking": fail_method("setblocking"),
    "transport": fail_transport,
}


@pytest.mark.parametrize("inject", SOCKET_FAULTS.values(), ids=SOCKET_FAULTS)
def test_accepted_socket_that_fails_is_closed_and_no_longer_counted(
    monkeypatch: pytest.MonkeyPatch, inject: Callable[[pytest.MonkeyPatch, ProxyHarness], None]
) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            faults = record_loop_faults()
            await wait_until(lambda: proxy.sidecar.frontend._accepting)
            await wait_until(lambda: proxy.discovery.targets)  # the connection of the watch counts, too
            descriptors_before = count_descriptors()
            inject(monkeypatch, proxy)
            client = socket.create_connection(proxy.sidecar.frontend.address)
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            assert await asyncio.wait_for(reader.read(), 20.0) == b""
            writer.close()
            await wait_until(
                lambda: (
                    proxy.sidecar.frontend.has_no_connections() and count_descriptors() == descriptors_before
                )
            )
            assert not faults
            assert (await proxy.send_request())[0] == 200

    run_scenario(scenario())


def fail_opening(monkeypatch: pytest.MonkeyPatch, code: int, failures: int) -> list[int]:
    """Make the next calls that open a listener fail; return a list with an entry for each call."""
    create_server = socket.create_server
    calls: list[int] = []

    def fail(*arguments: Any, **keywords: Any) -> socket.socket:
        calls.append(code)
        if len(calls) <= failures:
            raise OSError(code, os.strerror(code))
        return create_server(*arguments, **keywords)

    monkeypatch.setattr(socket, "create_server", fail)
    monkeypatch.setattr("sidecar.proxy.listener._OPEN_RETRY_INTERVAL_S", 0.001)
    return calls


@pytest.mark.parametrize(
    "code",
    [
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    ],
    ids=errno_name,
)
def test_opening_the_listener_is_retried_on_transient_errors(
    monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    async def scenario() -> None:
        calls = fail_opening(monkeypatch, code, 3)
        async with running_proxy(respond_ok) as proxy:
            assert (await proxy.send_request())[0] == 200
            assert len(calls) == 4

    run_scenario(scenario())


@pytest.mark.parametrize("timeout_s", [10.0, 0.0])
def test_failure_to_open_the_listener_aborts_the_start(
    monkeypatch: pytest.MonkeyPatch, timeout_s: float
) -> None:
    monkeypatch.setattr("sidecar.proxy.listener._OPEN_TIMEOUT_S", timeout_s)
    code = errno.EACCES if timeout_s else errno.EADDRINUSE
    calls = fail_opening(monkeypatch, code, 1000)
    with pytest.raises(OSError) as raised:
        listener.open_listener(("127.0.0.1", 0))
    assert raised.value.errno == code
    assert len(calls) == 1
