"""Dials that fail for a cause on this machine, and dials that fail for a cause on the server's side."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable

import pytest
from balancer_harness import SECOND_US
from faulty_sockets import Failures, errno_name, fail_times, use_faulty_sockets
from pool_requests import outcome_of
from proxy_harness import (
    LIMITS,
    TIMEOUT_S,
    FakeServer,
    full_backlog_listener,
    respond_ok,
    run_scenario,
    running_proxy,
    wait_until,
)

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.addresses import Address
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.server_connection import connect

_LOCAL_ERRNOS = (
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
)
_SERVER_ERRNOS = (errno.ECONNREFUSED, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)
_SOCKET_CREATION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def count_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def check_dial(expected: Outcome, dial_timeout_s: float = TIMEOUT_S, address: Address | None = None) -> None:
    """Send one request; check its outcome, and that no descriptor and no counted connection is left."""

    async def scenario() -> None:
        server = FakeServer("s", respond_ok)
        await server.start()
        pool = ConnectionPool(dial_timeout_s, 60.0, 10)
        pool.update("s", address or server.address, None, ServerState.READY)
        before = count_descriptors()
        assert await outcome_of(pool) is expected
        assert len(server.requests) == (expected is Outcome.SUCCEEDED)
        pool.close_idle("s")
        await wait_until(lambda: pool.open_connections == 0)
        server.stop()
        await wait_until(lambda: count_descriptors() <= before)

    run_scenario(scenario())


@pytest.mark.parametrize("code", _LOCAL_ERRNOS, ids=errno_name)
def test_dial_that_fails_for_a_local_cause_is_retried(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    use_faulty_sockets(monkeypatch, connect_failures=fail_times(code, 3))
    check_dial(Outcome.SUCCEEDED)


@pytest.mark.parametrize("code", _LOCAL_ERRNOS, ids=errno_name)
def test_server_is_not_blamed_for_a_persistent_local_failure(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, connect_failures=fail_times(code, 10**9))
    check_dial(Outcome.NOT_SENT, dial_timeout_s=0.1)


@pytest.mark.parametrize("code", _SOCKET_CREATION_ERRNOS, ids=errno_name)
@pytest.mark.parametrize(("times", "expected"), [(3, Outcome.SUCCEEDED), (10**9, Outcome.NOT_SENT)])
def test_lack_of_sockets_is_not_a_failure_of_the_server(
    code: int, times: int, expected: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, socket_failures=fail_times(code, times))
    check_dial(expected, dial_timeout_s=TIMEOUT_S if expected is Outcome.SUCCEEDED else 0.1)


@pytest.mark.parametrize("code", _SERVER_ERRNOS, ids=errno_name)
def test_dial_that_fails_for_a_cause_of_the_server_is_not_retried(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, connect_failures=fail_times(code, 1))
    check_dial(Outcome.CONNECT_FAILED)


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM, errno.EINVAL], ids=errno_name)
def test_socket_that_cannot_be_configured_is_replaced_by_another(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, setsockopt_failures=fail_times(code, 2))
    check_dial(Outcome.SUCCEEDED)


@pytest.mark.parametrize("code", [errno.EIO, errno.EINTR], ids=errno_name)
def test_failure_to_close_a_socket_changes_no_outcome(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    use_faulty_sockets(
        monkeypatch,
        connect_failures=fail_times(errno.EADDRNOTAVAIL, 2),
        close_failures=fail_times(code, 10**9),
    )
    check_dial(Outcome.SUCCEEDED)
    use_faulty_sockets(
        monkeypatch,
        connect_failures=fail_times(errno.ECONNREFUSED, 1),
        close_failures=fail_times(code, 10**9),
    )
    check_dial(Outcome.CONNECT_FAILED)


def test_address_that_cannot_be_resolved_is_a_failed_dial() -> None:
    check_dial(Outcome.CONNECT_FAILED, address=("a..b", 80))


def test_dial_timeout_without_a_local_failure_is_a_failure_of_the_server() -> None:
    with full_backlog_listener() as address:
        check_dial(Outcome.CONNECT_FAILED, dial_timeout_s=0.1, address=address)


def test_request_of_a_dial_that_fails_locally_is_never_written_and_ends_with_its_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    use_faulty_sockets(monkeypatch, connect_failures=fail_times(errno.EADDRNOTAVAIL, 10**9))

    async def scenario(end: Callable[[ConnectionPool], None], expected: Outcome, timeout_s: float) -> None:
        pool = ConnectionPool(TIMEOUT_S, 60.0, 10)
        pool.update("s", ("127.0.0.1", 1), None, ServerState.READY)
        sending = asyncio.create_task(outcome_of(pool, timeout_s))
        await wait_until(lambda: pool.open_connections == 1)
        end(pool)
        assert await sending is expected
        await wait_until(lambda: pool.open_connections == 0)

    def remove_server(pool: ConnectionPool) -> None:
        pool.update("s", None, None, ServerState.REMOVED)

    run_scenario(scenario(lambda _: None, Outcome.NOT_SENT, 0.1))
    run_scenario(scenario(remove_server, Outcome.CONNECT_FAILED, TIMEOUT_S))


def test_dials_back_off_between_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    connect_calls: list[None] = []

    def count_and_fail() -> Failures:
        while True:
            connect_calls.append(None)
            yield errno.EADDRNOTAVAIL

    use_faulty_sockets(monkeypatch, connect_failures=count_and_fail())
    check_dial(Outcome.NOT_SENT, dial_timeout_s=0.3)
    assert 2 <= len(connect_calls) <= 6  # at 0, 10, 30, 70, 150 and 310 ms at the earliest


def test_local_failures_eject_no_server_and_each_request_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limits = LIMITS | {"dial_timeout_us": SECOND_US // 10}

    async def scenario() -> None:
        async with running_proxy(respond_ok, respond_ok, limits=limits) as proxy:
            with monkeypatch.context() as patched:
                use_faulty_sockets(patched, connect_failures=fail_times(errno.EADDRNOTAVAIL, 10**9))
                for _ in range(8):
                    assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 503  # it was not executed
            server_states = proxy.sidecar._balancer._context.registry.servers.values()
            assert [(each.consecutive_failures, each.ejected_until) for each in server_states] == [
                (0, None)
            ] * 2
            assert not proxy.server_requests()
            assert not proxy.sidecar._active
            assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 200

    run_scenario(scenario())


# Guards calls to discovery, which have retries of their own.
@pytest.mark.parametrize("code", [*_LOCAL_ERRNOS, *_SERVER_ERRNOS], ids=errno_name)
def test_connect_without_a_given_socket_raises_an_os_error(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, connect_failures=fail_times(code, 1))

    async def scenario() -> None:
        server = FakeServer("s", respond_ok)
        await server.start()
        before = count_descriptors()
        with pytest.raises(OSError) as raised:
            await connect(server.address, 1024)
        assert raised.value.errno in (code, errno.EAGAIN)
        assert count_descriptors() == before
        server.stop()

    run_scenario(scenario())
