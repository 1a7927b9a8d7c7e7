"""Reads and writes that fail, are interrupted or are short: each request ends with the exact outcome."""

from __future__ import annotations

import asyncio
import errno
import itertools

import pytest
from faulty_sockets import Failures, errno_name, fail_times, use_faulty_sockets
from pool_requests import outcome_of
from proxy_harness import (
    TIMEOUT_S,
    FakeServer,
    encode_response,
    never_respond,
    respond_ok,
    run_scenario,
    wait_until,
)

from sidecar.balancer.events import Outcome, ServerState
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.exchange import EncodedRequest, Exchange
from sidecar.proxy.http_messages import encode_message

_CONNECTION_ERRNOS = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH)
_LONG_BODY = bytes(20_000)  # such a request is written in two parts, its last byte separately


def succeed_then_fail(code: int, times: int) -> Failures:
    """Succeed this many times, then fail permanently."""
    return itertools.chain(itertools.repeat(None, times), itertools.repeat(code))


def check_attempt(
    expected: Outcome, expected_requests: int, body: bytes = b"", reply: bytes = respond_ok()
) -> None:
    """Send a request; check its outcome, how often the server receives it, and that its connection closes."""

    async def scenario() -> None:
        server = FakeServer("s", lambda *_: reply)
        await server.start()
        pool = ConnectionPool(TIMEOUT_S, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        assert await outcome_of(pool, body=body) is expected
        pool.close_idle("s")
        await wait_until(lambda: pool.open_connections == 0)
        if expected is not Outcome.RESET:
            await wait_until(lambda: server.closed_by_peer == 1)  # the server has read all that was sent
            assert len(server.requests) == expected_requests
        server.stop()

    run_scenario(scenario())


@pytest.mark.parametrize("code", _CONNECTION_ERRNOS, ids=errno_name)
@pytest.mark.parametrize(("body", "successful_sends"), [(b"", 0), (_LONG_BODY, 0), (_LONG_BODY, 1)])
def test_failed_write_before_the_last_byte_proves_that_the_request_never_ran(
    body: bytes, successful_sends: int, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, send_failures=succeed_then_fail(code, successful_sends))
    check_attempt(Outcome.CONNECT_FAILED, 0, body)


@pytest.mark.parametrize("code", _CONNECTION_ERRNOS, ids=errno_name)
def test_short_write_does_not_count_as_the_last_byte(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    use_faulty_sockets(monkeypatch, send_failures=succeed_then_fail(code, 3), max_send_bytes=9)
    check_attempt(Outcome.CONNECT_FAILED, 0)


@pytest.mark.parametrize("code", _CONNECTION_ERRNOS, ids=errno_name)
def test_failed_read_after_the_last_byte_is_a_reset(code: int, monkeypatch: pytest.MonkeyPatch) -> None:
    use_faulty_sockets(monkeypatch, read_failures=succeed_then_fail(code, 0))
    check_attempt(Outcome.RESET, 1)
    # In the middle of the response.
    use_faulty_sockets(monkeypatch, read_failures=succeed_then_fail(code, 1), max_read_bytes=30)
    check_attempt(Outcome.RESET, 1)


@pytest.mark.parametrize("code", [errno.EINTR, errno.EAGAIN], ids=errno_name)
@pytest.mark.parametrize("body", [b"", _LONG_BODY])
def test_interrupted_system_calls_are_retried(
    body: bytes, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, send_failures=fail_times(code, 2), read_failures=fail_times(code, 2))
    check_attempt(Outcome.SUCCEEDED, 1, body)


@pytest.mark.parametrize("body", [b"", _LONG_BODY])
def test_short_reads_and_writes_lose_nothing(body: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    use_faulty_sockets(monkeypatch, max_send_bytes=19, max_read_bytes=3)
    check_attempt(Outcome.SUCCEEDED, 1, body, encode_response(200, bytes(999)))


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=errno_name)
@pytest.mark.parametrize(("body", "successful_sends"), [(b"", 0), (_LONG_BODY, 0), (_LONG_BODY, 1)])
def test_write_that_fails_for_a_local_cause_is_not_a_failure_of_the_server(
    body: bytes, successful_sends: int, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(monkeypatch, send_failures=succeed_then_fail(code, successful_sends))
    check_attempt(Outcome.NOT_SENT, 0, body)


@pytest.mark.parametrize("code", [errno.ENOTCONN, errno.EIO], ids=errno_name)
def test_attempt_is_cancelled_even_if_shutdown_and_close_fail(
    code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    use_faulty_sockets(
        monkeypatch, shutdown_failures=succeed_then_fail(code, 0), close_failures=succeed_then_fail(code, 0)
    )

    async def scenario() -> None:
        server = FakeServer("s", never_respond)
        await server.start()
        pool = ConnectionPool(TIMEOUT_S, 60.0, 10)
        pool.update("s", server.address, None, ServerState.READY)
        outcomes: list[Outcome] = []
        data = encode_message(b"GET / HTTP/1.1", [(b"Host", b"x")])
        deadline = asyncio.get_running_loop().time() + TIMEOUT_S
        exchange: Exchange = pool.send(
            "s", EncodedRequest(data), deadline, lambda outcome, _: outcomes.append(outcome)
        )
        await wait_until(lambda: server.requests)
        pool.cancel(exchange)
        await wait_until(lambda: server.closed_by_peer == 1 and pool.open_connections == 0)
        assert outcomes == [Outcome.CANCELLED]
        server.stop()

    run_scenario(scenario())
